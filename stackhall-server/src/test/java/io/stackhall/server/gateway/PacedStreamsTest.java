package io.stackhall.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.stackhall.server.fleet.LocalFleet;
import io.stackhall.server.fleet.RawHttp;
import io.stackhall.server.fleet.ScriptedUpstream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Streams through a small host, which reads them at common times after their first events. */
class PacedStreamsTest {

    private static final int STREAMS = 6;
    private static final int EVENTS = 12;
    private static final long EVENT_INTERVAL_MILLIS = 15;
    private static final long QUIET_MILLIS = 300;
    private static final Duration GAP_OBJECTIVE = Duration.ofMillis(400);

    private static final String LONG_EVENT = "data: " + "x".repeat(8000) + "\n\n";

    /** More than the buffers of two connections on loopback hold. */
    private static final int MAX_UNREAD_EVENTS = 4000;

    private static final String ROUTES =
            """
            {"version":3,"routes":[
             {"name":"stream","host":"a.example","path-prefix":"/stream/","kind":"streaming",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":1,"resumable":false,"gap-aim-ms":%d},
             {"name":"safe","host":"a.example","path-prefix":"/safe/","kind":"safe",
              "timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"plain",
              "max-attempts":2}],
             "services":[{"name":"plain","health-path":"/health","max-connections":50}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":100000,
              "header-timeout-ms":5000,"idle-timeout-ms":20000}}
            """
                    .formatted(GAP_OBJECTIVE.toMillis());

    @TempDir private Path folder;
    private LocalFleet fleet;
    private ScriptedUpstream upstream;
    private final AtomicInteger endlessEvents = new AtomicInteger();

    @BeforeEach
    void start() throws Exception {
        fleet = new LocalFleet(folder);
        fleet.foundControl();
        upstream = new ScriptedUpstream("i-1", this::answer);
        fleet.startEntry(1, 0.3);
        LocalFleet.await("routes taken", () -> fleet.put(ROUTES) == 200);
        LocalFleet.await("ready", () -> fleet.ready(1));
        fleet.heartbeat(1, upstream, upstream.heartbeat("plain", "ready", 1, "[]"));
        LocalFleet.await("served", () -> call("/safe/x", "before").status() == 200);
    }

    @AfterEach
    void stop() throws IOException {
        upstream.close();
        fleet.close();
    }

    private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
            throws IOException {
        if (request.startLine().contains("/safe/")) {
            to.plain(request, 200, "ok");
            return;
        }
        to.streamHead(request);
        while (request.startLine().contains("endless")) {
            to.chunk(LONG_EVENT);
            endlessEvents.incrementAndGet();
        }
        for (int event = 1; event <= EVENTS; event++) {
            to.chunk("id: " + event + "\ndata: x\n\n");
            pause(EVENT_INTERVAL_MILLIS);
            if (event == EVENTS / 2 && request.startLine().contains("broken")) {
                to.reset();
            }
        }
        to.chunk("");
    }

    @Test
    void streamsComeWholeInOrderAndInTime() throws Exception {
        List<Socket> callers = new ArrayList<>();
        try {
            for (int stream = 0; stream < STREAMS; stream++) {
                callers.add(send("/stream/x", "s" + stream));
            }
            for (Socket caller : callers) {
                assertThat(RawHttp.readHead(caller.getInputStream()).status()).isEqualTo(200);
                readEvents(caller);
            }
        } finally {
            for (Socket caller : callers) {
                caller.close();
            }
        }
        int connections = upstream.connections();
        assertThat(call("/safe/x", "after").status()).isEqualTo(200);
        assertThat(upstream.connections()).isLessThanOrEqualTo(connections);
    }

    private static void readEvents(Socket caller) throws IOException {
        long last = System.nanoTime();
        for (int event = 1; event <= EVENTS; event++) {
            String text =
                    new String(RawHttp.chunk(caller.getInputStream()), StandardCharsets.US_ASCII);
            assertThat(text).isEqualTo("id: " + event + "\ndata: x\n\n");
            long now = System.nanoTime();
            assertThat(now - last).isLessThan(GAP_OBJECTIVE.toNanos());
            last = now;
        }
        assertThat(RawHttp.chunk(caller.getInputStream())).isEmpty();
    }

    /** A failure here leaves a stream open that its upstream has broken off. */
    @Test
    void streamThatIsBrokenOffIsCutForItsCaller() throws Exception {
        try (Socket caller = send("/stream/broken", "broken")) {
            assertThatThrownBy(() -> RawHttp.read(caller.getInputStream(), true))
                    .isInstanceOf(IOException.class);
        }
    }

    /** A failure here keeps a stream without end in the memory of a small host. */
    @Test
    void callerThatDoesNotReadStopsItsUpstream() throws Exception {
        try (Socket caller = send("/stream/endless", "endless")) {
            LocalFleet.await(
                    "upstream held up",
                    () -> {
                        int before = endlessEvents.get();
                        pause(QUIET_MILLIS);
                        return before > 0 && endlessEvents.get() == before;
                    });
            int unread = endlessEvents.get();
            assertThat(unread).isLessThan(MAX_UNREAD_EVENTS);
            RawHttp.readHead(caller.getInputStream());
            for (int event = 0; event < unread; event++) {
                assertThat(RawHttp.chunk(caller.getInputStream())).hasSize(LONG_EVENT.length());
            }
            LocalFleet.await("stream goes on", () -> endlessEvents.get() > unread);
        }
    }

    private RawHttp.Message call(String target, String id) {
        try (Socket caller = send(target, id)) {
            return RawHttp.read(caller.getInputStream(), true);
        } catch (IOException e) {
            return new RawHttp.Message("HTTP/1.1 000 " + e, Map.of(), new byte[0]);
        }
    }

    private Socket send(String target, String id) throws IOException {
        Socket caller = fleet.callerOf(1);
        caller.getOutputStream().write(RawHttp.get(target, id).getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
