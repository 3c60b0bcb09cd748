package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.SeededHosts;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Customers' keys in what real processes write and answer. */
class KeysStaySecretTest {

    private static final String KEY = "north-key-4711";
    private static final String UNKNOWN = "unknown-key-0815";
    private static final List<String> PROCESSES =
            List.of("control-1", "control-2", "control-3", "entry-1");

    @TempDir private Path folder;

    private SeededHosts hosts;
    private final List<String> answers = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        hosts = new SeededHosts(folder);
        for (int number = 1; number <= 3; number++) {
            hosts.startControl(number, true);
        }
        hosts.startEntry(1, true);
        Eventually.holds("routes", () -> hosts.put(1, configuration(1, "")) == 200);
        hosts.startUpstream();
        Eventually.holds("served", () -> call("warm", KEY).statusCode() == 200);
    }

    @AfterEach
    void stop() {
        hosts.close();
    }

    @Test
    void noLogLineAndNoAnswerTellsAKey() throws Exception {
        answers.add(call("good", KEY).body());
        HttpResponse<String> refused = call("unknown", UNKNOWN);
        answers.add(refused.body() + refused.headers().map());
        assertThat(refused.statusCode()).isEqualTo(401);
        String twice = ",{\"name\":\"south\",\"api-keys\":[\"" + KEY + "\"]}";
        assertThat(hosts.put(2, configuration(2, twice))).isEqualTo(400);
        assertThat(hosts.put(3, configuration(3, "," + KEY))).isEqualTo(400);
        assertThat(hosts.put(1, configuration(4, ""))).isEqualTo(200);
        answers.add(call("after", KEY).body());
        // Lines are written by a thread of their own: without this, a log was read empty.
        Eventually.holds("last request logged", () -> logged("entry-1", "id=after"));
        Eventually.holds("first refusal logged", () -> logged("control-2", "routes.refused"));
        Eventually.holds("second refusal logged", () -> logged("control-3", "routes.refused"));
        for (String process : PROCESSES) {
            Eventually.holds(process + " logged", () -> logged(process, "daemon.started"));
            assertThat(hosts.log(process))
                    .isNotEmpty()
                    .noneMatch(line -> line.contains(KEY) || line.contains(UNKNOWN));
        }
        assertThat(answers).noneMatch(text -> text.contains(KEY) || text.contains(UNKNOWN));
        assertThat(hosts.read(1)).as("the configuration as it was sent").contains(KEY);
    }

    private boolean logged(String process, String text) throws Exception {
        return hosts.log(process).stream().anyMatch(line -> line.contains(text));
    }

    private HttpResponse<String> call(String id, String key) throws Exception {
        return hosts.callWithKey(1, "/a/x", id, key);
    }

    private static String configuration(int version, String moreCustomers) {
        return """
        {"version":%d,"routes":[\
        {"name":"a","host":"a.example","path-prefix":"/a/","kind":"safe",\
        "timeout-ms":3000,"target-latency-ms":200,"priority":1,"service":"plain",\
        "max-attempts":1}],"services":[\
        {"name":"plain","health-path":"/h","max-connections":50}],\
        "tenants":[{"name":"north","api-keys":["%s"]}%s]}"""
                .formatted(version, KEY, moreCustomers);
    }
}
