package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.RunningProcess;
import io.stackhall.tests.harness.SeededHosts;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * After all hosts had started anew, requests on a route that an acknowledged configuration had
 * added were refused with 404 at some entry hosts. Each control host applied its log from the start
 * and passed every configuration in it on as if it were news, on the thread that also carries the
 * group's heartbeats, so that its leader lost the lease. An entry host that had started anew held
 * nothing newer, and took a quorum's word on the newest version for a word on the old one that it
 * held.
 *
 * <p>What settled it, from the hosts' logs after a restart with 500 changes in the log:
 *
 * <pre>
 * control-2  control.leads leading=true, and leading=false 388 ms later
 * control-2  routes.told version=1 was=-1 followers=3, and so on to version=500
 * entry-1    routes.confirmed version=1
 * entry-1    routes.obeyed version=1 heard=500 confirmed=500
 * </pre>
 */
class ConfigurationAfterRestartTest {

    private static final int CONTROL_HOSTS = 3;
    private static final int ENTRY_HOSTS = 3;
    private static final int CHANGES = 500;

    /** A configuration as large as one of some 200 models. */
    private static final int OTHER_ROUTES = 150;

    private static final int NOT_FOUND = 404;
    private static final int SERVED = 200;

    @TempDir private Path folder;

    private SeededHosts hosts;
    private final List<RunningProcess> processes = new ArrayList<>();
    private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();

    @BeforeEach
    void start() throws Exception {
        hosts = new SeededHosts(folder);
        startAll(true);
        Eventually.holds("first routes", () -> hosts.put(1, routes(1)) == SERVED);
        hosts.startUpstream();
        for (int number = 1; number <= ENTRY_HOSTS; number++) {
            int host = number;
            Eventually.holds("served", () -> status(host, 1) == SERVED);
        }
    }

    @AfterEach
    void stop() {
        callers.shutdownNow();
        hosts.close();
    }

    @Test
    void hostThatStartsAnewNeverObeysWhatWasReplacedBeforeItStarted() throws Exception {
        for (int version = 2; version <= CHANGES; version++) {
            int next = version;
            Eventually.holds("change", () -> hosts.put(1, routes(next)) == SERVED);
        }
        processes.forEach(RunningProcess::kill);
        processes.clear();
        startAll(false);
        List<Future<List<Integer>>> callsOfHosts = new ArrayList<>();
        for (int number = 1; number <= ENTRY_HOSTS; number++) {
            int host = number;
            callsOfHosts.add(callers.submit(() -> callUntilServed(host)));
        }
        for (Future<List<Integer>> statuses : callsOfHosts) {
            assertThat(statuses.get()).doesNotContain(NOT_FOUND);
        }
    }

    @Test
    void controlHostThatCatchesUpIsNotObeyedOnTheWay() throws Exception {
        processes.get(CONTROL_HOSTS - 1).kill();
        for (int version = 2; version <= CHANGES; version++) {
            int next = version;
            Eventually.holds("change", () -> hosts.put(1, routes(next)) == SERVED);
        }
        processes.subList(CONTROL_HOSTS, processes.size()).forEach(RunningProcess::kill);
        hosts.startControl(CONTROL_HOSTS, false);
        List<Future<List<Integer>>> callsOfHosts = new ArrayList<>();
        for (int number = 1; number <= ENTRY_HOSTS; number++) {
            int host = number;
            hosts.startEntry(host, true);
            callsOfHosts.add(callers.submit(() -> callUntilServed(host)));
        }
        for (Future<List<Integer>> statuses : callsOfHosts) {
            assertThat(statuses.get()).doesNotContain(NOT_FOUND);
        }
    }

    private void startAll(boolean firstStart) {
        for (int number = 1; number <= CONTROL_HOSTS; number++) {
            processes.add(hosts.startControl(number, firstStart));
        }
        for (int number = 1; number <= ENTRY_HOSTS; number++) {
            processes.add(hosts.startEntry(number, true));
        }
    }

    /** Returns what each call of the newest route was answered, up to the first that was served. */
    private List<Integer> callUntilServed(int host) {
        List<Integer> statuses = new ArrayList<>();
        Eventually.holds(
                "newest route served by " + host,
                () -> {
                    statuses.add(status(host, CHANGES));
                    return statuses.getLast() == SERVED;
                });
        return statuses;
    }

    private int status(int host, int version) throws IOException, InterruptedException {
        return hosts.callRoute(host, "/v" + version + "/x", "r" + System.nanoTime()).statusCode();
    }

    /** Returns a configuration whose one route that changes is named after its version. */
    private static String routes(int version) {
        String others =
                IntStream.range(0, OTHER_ROUTES)
                        .mapToObj(number -> route("o" + number, "/other" + number + "/"))
                        .collect(Collectors.joining(","));
        return """
        {"version":%d,"routes":[%s,%s],"services":[\
        {"name":"plain","health-path":"/h","max-connections":50}]}"""
                .formatted(version, route("v", "/v" + version + "/"), others);
    }

    private static String route(String name, String prefix) {
        return """
        {"name":"%s","host":"a.example","path-prefix":"%s","kind":"safe",\
        "timeout-ms":3000,"target-latency-ms":100,"priority":1,"service":"plain",\
        "max-attempts":2}"""
                .formatted(name, prefix);
    }
}
