package io.stackhall.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.fleet.LocalFleet;
import io.stackhall.server.fleet.RawHttp;
import io.stackhall.server.fleet.ScriptedUpstream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Callers that close their connection while the event loop is held up. The request and the close
 * are both in the socket by then, but the event loop reads them in different iterations.
 */
class ClosedCallerTest {

    private static final long HOLD_MILLIS = 400;

    /** Time in which a request that is sent in spite of the close reaches the upstream. */
    private static final long ARRIVAL_MILLIS = 300;

    private static final String ROUTES =
            """
            {"version":3,"routes":[
             {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":2}],
             "services":[{"name":"plain","health-path":"/health","max-connections":50}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":100000,
              "header-timeout-ms":1000,"idle-timeout-ms":5000}}
            """;

    @TempDir private Path folder;
    private LocalFleet fleet;
    private EntryDaemon entry;
    private volatile String connectionHeader = "Connection: keep-alive";
    private ScriptedUpstream upstream;

    @BeforeEach
    void start() throws Exception {
        fleet = new LocalFleet(folder);
        fleet.foundControl();
        entry = fleet.startEntry(1);
        LocalFleet.await("routes taken", () -> fleet.put(ROUTES) == 200);
        LocalFleet.await("ready", () -> fleet.ready(1));
        upstream =
                new ScriptedUpstream(
                        "i-1", (request, to) -> to.plain(request, 200, "ok", connectionHeader));
        fleet.heartbeat(1, upstream, upstream.heartbeat("plain", "ready", 1, "[]"));
        LocalFleet.await("served", () -> status("first") == 200);
    }

    @AfterEach
    void stop() throws IOException {
        upstream.close();
        fleet.close();
    }

    @Test
    void requestOfACallerThatHasClosedIsNotSentOverAKeptConnection() throws Exception {
        assertNothingIsSent("");
    }

    @Test
    void requestOfACallerThatHasClosedIsNotSentOverANewConnection() throws Exception {
        connectionHeader = "Connection: close";
        assertThat(status("last-kept")).isEqualTo(200);
        assertNothingIsSent("");
    }

    @Test
    void closeBehindAFurtherRequestIsReadAsWell() throws Exception {
        assertNothingIsSent(get("further"));
    }

    private void assertNothingIsSent(String further) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        entry.loop()
                .execute(
                        () -> {
                            held.countDown();
                            pause(HOLD_MILLIS);
                        });
        held.await();
        try (Socket caller = fleet.callerOf(1)) {
            caller.getOutputStream().write(ascii(get("closed") + further));
        }
        pause(HOLD_MILLIS + ARRIVAL_MILLIS);
        assertThat(upstream.requests())
                .extracting(request -> request.header("x-request-id"))
                .doesNotContain("closed", "further");
        assertThat(status("after")).isEqualTo(200);
    }

    private int status(String id) {
        return fleet.statusOf(1, get(id));
    }

    private static String get(String id) {
        return RawHttp.get("/safe/x", id, "X-Deadline-Ms: 3000");
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
