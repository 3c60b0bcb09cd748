package io.stackhall.tests;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.explain.LogLine;
import io.stackhall.server.explain.RequestStory;
import io.stackhall.tests.harness.Eventually;
import io.stackhall.tests.harness.RunningProcess;
import io.stackhall.tests.harness.SeededHosts;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Hosts that find each other by seeds, as real processes. */
class SeededHostsTest {

    @TempDir private Path folder;
    private SeededHosts hosts;
    private final Map<Integer, RunningProcess> control = new HashMap<>();

    @BeforeEach
    void start() {
        hosts = new SeededHosts(folder);
    }

    @AfterEach
    void stop() {
        hosts.close();
    }

    @Test
    void killsRestartsAndReloadsLoseNothingAcknowledged() throws Exception {
        serve();
        RunningProcess entry = hosts.startEntry(2, true);
        Eventually.holds("second entry host", () -> hosts.ready(2));
        for (int number = 1; number <= 3; number++) {
            control.get(number).kill();
            int other = number % 3 + 1;
            int version = 10 + number;
            Eventually.holds("change", () -> hosts.put(other, routes(version)) == 200);
            control.put(number, hosts.startControl(number, false));
            int restarted = number;
            Eventually.holds("newest read", () -> hosts.read(restarted).equals(routes(version)));
            control.get(number).hangUp();
            entry.hangUp();
            assertThat(hosts.call(2, "/a/x", "r" + number).statusCode()).isEqualTo(200);
        }
        assertThat(entry.alive()).isTrue();
        assertThat(entry.terminate()).isZero();
        assertThat(control.get(1).terminate()).isZero();
        assertThat(hosts.call(1, "/a/x", "last").statusCode()).isEqualTo(200);
    }

    @Test
    void requestsMeetTheirTimesWhileNobodyReadsTheLog() throws Exception {
        serve();
        hosts.startEntry(2, false);
        Eventually.holds("second entry host", () -> hosts.ready(2));
        Eventually.holds("served", () -> hosts.call(2, "/a/x", "warm").statusCode() == 200);
        long slowest = 0;
        for (int count = 0; count < 600; count++) {
            long began = System.nanoTime();
            assertThat(hosts.call(2, "/a/x", "r" + count).statusCode()).isEqualTo(200);
            slowest = Math.max(slowest, System.nanoTime() - began);
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(slowest)).isLessThan(2500);
    }

    @Test
    void threeStoriesAreToldByTheLogs() throws Exception {
        serve();
        assertThat(hosts.call(1, "/nobody/x", "refused").statusCode()).isEqualTo(503);
        assertThat(hosts.call(1, "/a/break", "broken").statusCode()).isEqualTo(502);
        control.values().forEach(RunningProcess::kill);
        hosts.startEntry(3, true);
        Eventually.holds("refuses", () -> hosts.call(3, "/a/x", "lost").statusCode() == 503);
        Eventually.holds("refusal told", () -> story("refused").contains("request.refused"));
        Eventually.holds(
                "break told",
                () ->
                        story("broken")
                                .containsAll(
                                        List.of(
                                                "routes.in-force",
                                                "instance.changed",
                                                "request.sent",
                                                "attempt.failed",
                                                "request.failed")));
        Eventually.holds("loss told", () -> story("lost").contains("request.refused"));
    }

    @Test
    void commandListsWhatIsRefused() throws Exception {
        serve();
        Path log = folder.resolve("refused.log");
        assertThat(
                        RunningProcess.startSeeded(log, "refused-requests", hosts.controlCalls(2))
                                .awaitExit())
                .isZero();
        assertThat(Files.readString(log)).contains("{\"refused\":[]}");
        String digest = "0123456789abcdef0123456789abcdef";
        assertThat(
                        RunningProcess.startSeeded(
                                        folder.resolve("lift.log"),
                                        "refused-requests",
                                        hosts.controlCalls(3),
                                        "--lift",
                                        digest,
                                        "--operator",
                                        "maria")
                                .awaitExit())
                .isZero();
        Eventually.holds(
                "lift told",
                () -> hosts.log("control-3").stream().anyMatch(line -> line.contains(digest)));
    }

    /**
     * A host that was told of changed settings 0.4 s before it was ready left as soon as it was:
     * "daemon.started" at 48.956, "daemon.draining" at 48.957. The settings are a pipe here, so
     * that the host is known to be starting when it is told.
     */
    @Test
    void hostThatIsToldOfItsSettingsWhileItStartsGoesOn() throws Exception {
        serve();
        Path pipe = folder.resolve("pipe.json");
        new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor();
        RunningProcess starting =
                RunningProcess.startSeeded(folder.resolve("pipe.log"), "serve", pipe.toString());
        try (OutputStream settings = Files.newOutputStream(pipe)) {
            starting.hangUp();
            Eventually.pause(500);
            assertThat(starting.alive()).isTrue();
            settings.write(hosts.entrySettings(4).getBytes(StandardCharsets.UTF_8));
        }
        Eventually.holds("ready", () -> hosts.ready(4));
        starting.kill();
    }

    @Test
    void settingsThatAreWrongEndTheProcessWithAMessage() throws Exception {
        Path file = folder.resolve("wrong.json");
        Files.writeString(file, "{\"host\": \"h\", \"discovery\": {\"seeds\": [\"x\"]}}");
        Path log = folder.resolve("wrong.log");
        assertThat(RunningProcess.startSeeded(log, "serve", file.toString()).awaitExit())
                .isEqualTo(2);
        assertThat(Files.readString(folder.resolve("wrong.log.err")))
                .contains("'zone' is missing")
                .contains("'x' is not of the form ip:port");
    }

    private void serve() throws IOException {
        for (int number = 1; number <= 3; number++) {
            control.put(number, hosts.startControl(number, true));
        }
        hosts.startEntry(1, true);
        Eventually.holds("first routes", () -> hosts.put(1, routes(1)) == 200);
        Eventually.holds("ready", () -> hosts.ready(1));
        hosts.startUpstream();
        Eventually.holds("served", () -> hosts.call(1, "/a/x", "first").statusCode() == 200);
    }

    private List<String> story(String request) throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (String name : List.of("entry-1", "entry-3", "control-1", "control-2", "control-3")) {
            for (String line : hosts.log(name)) {
                LogLine.parse(name, line).ifPresent(lines::add);
            }
        }
        return RequestStory.of(request, lines).stream().map(LogLine::event).toList();
    }

    private static String routes(int version) {
        return """
        {"version":%d,"routes":[\
        {"name":"a","host":"127.0.6.1","path-prefix":"/a/","kind":"unsafe",\
        "timeout-ms":3000,"target-latency-ms":100,"priority":1,"service":"plain",\
        "max-attempts":1},\
        {"name":"a2","host":"127.0.6.2","path-prefix":"/a/","kind":"unsafe",\
        "timeout-ms":3000,"target-latency-ms":100,"priority":1,"service":"plain",\
        "max-attempts":1},\
        {"name":"n","host":"127.0.6.1","path-prefix":"/nobody/","kind":"unsafe",\
        "timeout-ms":3000,"target-latency-ms":100,"priority":1,"service":"absent",\
        "max-attempts":1}],"services":[\
        {"name":"plain","health-path":"/h","max-connections":50},\
        {"name":"absent","health-path":"/h","max-connections":50}]}"""
                .formatted(version);
    }
}
