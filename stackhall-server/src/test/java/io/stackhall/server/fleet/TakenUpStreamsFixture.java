package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Streams that begin at one entry host and are taken up at another, of two versions. */
abstract class TakenUpStreamsFixture extends RelayFixture {

    static final int CONTROLS = 3;
    static final int STREAMS = 12;
    private static final int EVENTS = 3;
    static final int BEGUN_AT = 2;
    static final int TAKEN_UP_AT = 1;

    final List<ScriptedUpstream> upstreams = new ArrayList<>();
    private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();

    /** A stream of which its caller has the first event, from some version. */
    record Begun(String id, String software) {}

    @BeforeEach
    void startOldVersion() throws Exception {
        fleet.startEntry(BEGUN_AT);
        announce("v1", TAKEN_UP_AT);
        LocalFleet.await("ready", () -> fleet.ready(1) && fleet.ready(2));
        pause(200);
    }

    @AfterEach
    void stopUpstreams() throws IOException {
        callers.shutdownNow();
        for (ScriptedUpstream upstream : upstreams) {
            upstream.close();
        }
    }

    /** Returns how long callers say that they wait. */
    int callersWaitMillis() {
        return 3000;
    }

    static String controlIp(int number) {
        return "127.0.3." + number;
    }

    ScriptedUpstream announce(String software, int control) throws IOException {
        ScriptedUpstream upstream =
                new ScriptedUpstream(software, (request, to) -> stream(request, to, software));
        upstreams.add(upstream);
        fleet.heartbeat(control, upstream, upstream.heartbeat("plain", software, "ready", 1, "[]"));
        return upstream;
    }

    private static void stream(
            RawHttp.Message request, ScriptedUpstream.Connection to, String software)
            throws IOException {
        to.streamHead(request);
        int from = Integer.parseInt("0" + request.header("last-event-id"));
        for (int id = from + 1; id <= EVENTS; id++) {
            to.chunk("id: " + id + "\ndata: " + software + "\n\n");
            pause(10);
        }
        to.chunk("");
    }

    /** Begins as many streams as a test takes up. */
    List<Begun> beginAll() throws IOException {
        List<Begun> begun = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            begun.add(begin("r" + number));
        }
        return begun;
    }

    /** Begins a stream on a connection that its caller closes after the first event. */
    Begun begin(String id) throws IOException {
        try (Socket caller = fleet.callerOf(BEGUN_AT)) {
            String request = RawHttp.get("/resumed/x", id, "X-Deadline-Ms: " + callersWaitMillis());
            caller.getOutputStream().write(ascii(request));
            InputStream in = caller.getInputStream();
            assertThat(RawHttp.readHead(in).status()).isEqualTo(200);
            String event = new String(RawHttp.chunk(in), StandardCharsets.US_ASCII);
            return new Begun(id, event.contains("data: v2") ? "v2" : "v1");
        }
    }

    /** Takes all streams up, asserts that none is joined, and returns how many go on. */
    int takeUpAll(List<Begun> begun, String suffix) throws Exception {
        List<Future<RawHttp.Message>> answers =
                begun.stream().map(stream -> callers.submit(() -> takeUp(stream, suffix))).toList();
        int goingOn = 0;
        for (int index = 0; index < answers.size(); index++) {
            RawHttp.Message answer = answers.get(index).get();
            if (answer.status() == 200) {
                goingOn++;
                assertThat(answer.text()).contains("data: " + begun.get(index).software() + "\n");
            }
        }
        return goingOn;
    }

    RawHttp.Message takeUp(Begun stream, String suffix) {
        String request =
                RawHttp.get(
                        "/resumed/x",
                        stream.id() + suffix,
                        "X-Deadline-Ms: " + callersWaitMillis(),
                        "Last-Event-Id: 1",
                        "Resumes: " + stream.id());
        try {
            return fleet.call(TAKEN_UP_AT, request);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
