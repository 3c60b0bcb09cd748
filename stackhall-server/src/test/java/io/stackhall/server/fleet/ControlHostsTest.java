package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.control.ControlDaemon;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The configuration and the list of upstreams on control hosts that come and go. */
class ControlHostsTest {

    private static final String PUT = "/-/config/put";
    private static final String READ = "/-/config/get";

    @TempDir private Path folder;
    private LocalFleet fleet;
    private final List<ControlDaemon> control = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        fleet = new LocalFleet(folder);
        for (int number = 1; number <= 3; number++) {
            control.add(fleet.startControl(number, true));
        }
        LocalFleet.await("first configuration taken", () -> put(1, routes(1, 1000)) == 200);
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    @Test
    void changeTakenByOneHostIsReadFromEveryOther() throws IOException {
        for (int number = 1; number <= 3; number++) {
            assertThat(put(number, routes(10 + number, 1000))).isEqualTo(200);
            int other = number % 3 + 1;
            assertThat(read(other)).isEqualTo(routes(10 + number, 1000));
        }
    }

    @Test
    void versionThatIsNotHigherIsAcknowledgedAndChangesNothing() throws IOException {
        assertThat(put(1, routes(7, 1000))).isEqualTo(200);
        assertThat(put(2, routes(7, 2000))).isEqualTo(200);
        assertThat(put(3, routes(5, 3000))).isEqualTo(200);
        assertThat(put(2, routes(7, 1000))).isEqualTo(200);
        assertThat(read(1)).isEqualTo(routes(7, 1000));
    }

    @Test
    void invalidChangeIsRefusedAndNotInForce() throws IOException {
        assertThat(put(1, routes(9, 0))).isEqualTo(400);
        assertThat(put(1, routes(9, 1000).substring(0, 60))).isEqualTo(400);
        assertThat(
                        put(
                                1,
                                routes(9, 1000)
                                        .replace(
                                                "\"plain\",\"max-attempts",
                                                "\"nobody\",\"max-attempts")))
                .isEqualTo(400);
        assertThat(read(2)).isEqualTo(routes(1, 1000));
    }

    @Test
    void acknowledgedChangeOutlivesAnyOneHostAndAnEmptiedOne() throws Exception {
        assertThat(put(1, routes(20, 1000))).isEqualTo(200);
        for (int number = 1; number <= 3; number++) {
            fleet.stop(control.get(number - 1));
            int other = number % 3 + 1;
            int version = 20 + number;
            LocalFleet.await(
                    "change without host " + number,
                    () -> put(other, routes(version, 1000)) == 200);
            control.set(number - 1, fleet.startControl(number, false));
            int restarted = number;
            LocalFleet.await(
                    "host " + number + " reads the newest",
                    () -> routes(version, 1000).equals(readOrNothing(restarted)));
        }
    }

    @Test
    void processWithoutAQuorumAnswersNoRead() throws Exception {
        fleet.stop(control.get(1));
        fleet.stop(control.get(2));
        LocalFleet.await(
                "uncertain", () -> status("GET", READ, "") == 503 && put(1, routes(30, 9)) == 503);
    }

    @Test
    void upstreamThatDrainsGetsNothingNewOnceThatIsAcknowledged() throws Exception {
        fleet.startEntry(1);
        LocalFleet.await("ready", () -> fleet.ready(1));
        ScriptedUpstream.Script named =
                (request, to) -> to.plain(request, 200, request.header("x-expect-instance"));
        try (ScriptedUpstream leaving = new ScriptedUpstream("i-leaving", named);
                ScriptedUpstream staying = new ScriptedUpstream("i-staying", named)) {
            fleet.heartbeat(1, leaving, leaving.heartbeat("plain", "ready", 1, "[]"));
            fleet.heartbeat(2, staying, staying.heartbeat("plain", "ready", 1, "[]"));
            LocalFleet.await("both serve", () -> call().equals("i-leaving"));
            LocalFleet.await("both serve", () -> call().equals("i-staying"));
            fleet.heartbeat(3, leaving, leaving.heartbeat("plain", "draining", 2, "[]"));
            Thread.sleep(100);
            int before = leaving.requests().size();
            for (int count = 0; count < 50; count++) {
                assertThat(call()).isEqualTo("i-staying");
            }
            assertThat(leaving.requests()).hasSize(before);
        }
    }

    private String call() {
        try {
            String request = RawHttp.get("/a/x", "r", "X-Deadline-Ms: 900");
            return fleet.call(1, request).text();
        } catch (IOException e) {
            return "failed: " + e;
        }
    }

    private int put(int number, String body) {
        try {
            return fleet.control(number, "POST", PUT, body).status();
        } catch (IOException e) {
            return 0;
        }
    }

    private String read(int number) throws IOException {
        return fleet.control(number, "GET", READ, "").text();
    }

    private String readOrNothing(int number) {
        try {
            return read(number);
        } catch (IOException e) {
            return "";
        }
    }

    private int status(String method, String path, String body) {
        try {
            return fleet.control(1, method, path, body).status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static String routes(long version, int timeoutMillis) {
        return """
        {"version":%d,"routes":[{"name":"a","host":"a.example","path-prefix":"/a/","kind":"safe",\
        "timeout-ms":%d,"target-latency-ms":100,"priority":1,"service":"plain","max-attempts":1}],\
        "services":[{"name":"plain","health-path":"/h","max-connections":50}]}"""
                .formatted(version, timeoutMillis);
    }
}
