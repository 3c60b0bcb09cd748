package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.control.ControlDaemon;
import io.stackhall.server.gateway.EntryDaemon;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** An entry host with its control hosts, and upstreams that a test scripts. */
abstract class RelayFixture {

    static final String ROUTES =
            """
            {"version":3,"routes":[
             {"name":"once","host":"a.example","path-prefix":"/once/","kind":"unsafe",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":1},
             {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":2},
             {"name":"slow","host":"a.example","path-prefix":"/slow/","kind":"safe",
              "timeout-ms":60000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":2},
             {"name":"stream","host":"a.example","path-prefix":"/stream/","kind":"streaming",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":1,"resumable":false,"gap-aim-ms":400},
             {"name":"resumed","host":"a.example","path-prefix":"/resumed/","kind":"streaming",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":2,"resumable":true,"gap-aim-ms":400}],
             "services":[{"name":"plain","health-path":"/health","max-connections":50}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":100000,
              "header-timeout-ms":1000,"idle-timeout-ms":5000}}
            """;

    @TempDir private Path folder;
    LocalFleet fleet;
    EntryDaemon entry;
    List<ControlDaemon> controls;

    @BeforeEach
    void start() throws Exception {
        fleet = new LocalFleet(folder);
        controls = fleet.foundControl();
        entry = fleet.startEntry(1);
        LocalFleet.await("routes taken", () -> put(ROUTES) == 200);
        LocalFleet.await("ready", () -> fleet.ready(1));
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    ScriptedUpstream upstream(ScriptedUpstream.Script script) throws Exception {
        return upstream("i-1", script);
    }

    ScriptedUpstream upstream(String id, ScriptedUpstream.Script script) throws Exception {
        ScriptedUpstream upstream = new ScriptedUpstream(id, script);
        fleet.heartbeat(2, upstream, upstream.heartbeat("plain", "ready", 1, "[]"));
        // The push to the entry host takes some milliseconds.
        pause(200);
        return upstream;
    }

    int put(String routes) {
        return fleet.put(routes);
    }

    static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static String get(String path, String id) {
        String deadline = path.startsWith("/slow/") ? "60000" : "3000";
        return RawHttp.get(path, id, "X-Deadline-Ms: " + deadline);
    }

    static String lines(String... lines) {
        return String.join("\r\n", lines) + "\r\n";
    }
}
