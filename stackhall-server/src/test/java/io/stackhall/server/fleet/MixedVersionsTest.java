package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.clock.BootClock;
import io.stackhall.server.control.ControlDaemon;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Streams at upstreams of which two versions serve side by side, which take up no other's. */
class MixedVersionsTest extends RelayFixture {

    private static final int STREAMS = 20;
    private static final int EVENTS = 4;
    private static final Pattern SOFTWARE = Pattern.compile("data: (\\S+)");

    private final List<ScriptedUpstream> upstreams = new ArrayList<>();
    private final Set<String> breakOff = ConcurrentHashMap.newKeySet();

    /** A stream of which its caller has the first event, from some version. */
    private record Begun(String id, String software) {}

    @BeforeEach
    void startUpstreams() throws Exception {
        fleet.startEntry(2);
        for (String software : List.of("v1", "v1", "v2", "v2")) {
            announce(software);
        }
        LocalFleet.await("both hosts ready", () -> fleet.ready(1) && fleet.ready(2));
        pause(200);
    }

    @AfterEach
    void stopUpstreams() throws IOException {
        for (ScriptedUpstream upstream : upstreams) {
            upstream.close();
        }
    }

    private void announce(String software) throws IOException {
        String id = software + "-" + upstreams.size();
        ScriptedUpstream upstream =
                new ScriptedUpstream(id, (request, to) -> stream(request, to, software));
        upstreams.add(upstream);
        report(upstream, software, "ready", 1);
    }

    private void report(ScriptedUpstream upstream, String software, String state, long beat)
            throws IOException {
        fleet.heartbeat(2, upstream, upstream.heartbeat("plain", software, state, beat, "[]"));
    }

    /** Writes the events behind the last one that the caller has, each with the version. */
    private void stream(RawHttp.Message request, ScriptedUpstream.Connection to, String software)
            throws IOException {
        to.streamHead(request);
        int from = Integer.parseInt("0" + request.header("last-event-id"));
        for (int id = from + 1; id <= EVENTS; id++) {
            to.chunk("id: " + id + "\ndata: " + software + "\n\n");
            if (id == 1 && breakOff.remove(request.header("x-request-id"))) {
                pause(20);
                to.reset();
                return;
            }
            pause(30);
        }
        to.chunk("");
    }

    @Test
    void streamThatItsCallerTakesUpElsewhereKeepsItsVersion() throws Exception {
        List<Begun> begun = begin(1, "a", STREAMS);
        assertGoOn(takeUp(2, begun, ""), begun);
        assertGoOn(takeUp(1, begun, "again"), begun);
    }

    @Test
    void streamThatAHostTakesUpWithinOneAnswerKeepsItsVersion() throws Exception {
        earnResends();
        for (int number = 0; number < STREAMS; number++) {
            String id = "w" + number;
            breakOff.add(id);
            RawHttp.Message answer = fleet.call(1, get("/resumed/x", id));
            assertThat(answer.status()).isEqualTo(200);
            assertThat(software(answer.text())).as(answer.text()).hasSize(1);
            assertThat(answer.text()).contains("id: " + EVENTS + "\n");
        }
    }

    @Test
    void streamOfAKilledHostKeepsItsVersion() throws Exception {
        List<Begun> begun = begin(1, "k", STREAMS);
        fleet.stop(entry);
        assertGoOn(takeUp(2, begun, ""), begun);
    }

    // Control hosts keep nothing of streams on disk.
    @Test
    void streamKeepsItsVersionAfterControlHostsHaveStartedAgain() throws Exception {
        List<Begun> begun = begin(1, "r", STREAMS);
        for (int number = 1; number <= 3; number++) {
            ControlDaemon stopped = controls.get(number - 1);
            fleet.stop(stopped);
            fleet.startControl(number, false);
        }
        LocalFleet.await("hosts ready", () -> fleet.ready(1) && fleet.ready(2));
        pause(1500);
        assertGoOn(takeUp(2, begun, ""), begun);
    }

    @Test
    void streamWhoseVersionIsGoneIsRefusedAtOnce() throws Exception {
        List<Begun> begun = begin(1, "g", STREAMS);
        for (ScriptedUpstream upstream : upstreams) {
            if (upstream.id().startsWith("v1")) {
                report(upstream, "v1", "draining", 2);
            }
        }
        pause(200);
        assertThat(begun).extracting(Begun::software).contains("v1", "v2");
        for (Begun stream : begun) {
            RawHttp.Message answer = takeUp(2, stream, "");
            if (stream.software().equals("v1")) {
                assertThat(answer.status()).isEqualTo(503);
                assertThat(answer.header("retry-after")).isNotEmpty();
            } else {
                assertThat(software(answer.text())).containsExactly("v2");
            }
        }
    }

    @Test
    void streamOfWhichNobodyKnowsTheVersionIsRefusedAtOnce() throws Exception {
        long started = BootClock.nanos();
        for (int number = 0; number < STREAMS; number++) {
            RawHttp.Message answer = takeUp(2, new Begun("never-seen-" + number, "v1"), "");
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.header("retry-after")).isNotEmpty();
            String nameless = RawHttp.get("/resumed/x", "n" + number, "Last-Event-Id: 1");
            assertThat(fleet.call(2, nameless).status()).isEqualTo(503);
        }
        long perRequest = (BootClock.nanos() - started) / (2 * STREAMS);
        assertThat(TimeUnit.NANOSECONDS.toMillis(perRequest)).isLessThan(400);
    }

    // Streams without an id of their attempt would all pass for the same one.
    @Test
    void streamWithoutAnIdIsNotTakenForAnother() throws Exception {
        for (int number = 0; number < STREAMS; number++) {
            begin(1, get("/resumed/x", ""));
            RawHttp.Message answer = takeUp(1, new Begun("", "v1"), "nameless" + number);
            assertThat(answer.status()).isEqualTo(503);
        }
    }

    // A host that hears from no control host has to say that it does not know.
    @Test
    void streamIsNotTakenUpByGuessWhileNoControlHostAnswers() throws Exception {
        List<Begun> begun = begin(1, "c", STREAMS);
        for (ControlDaemon control : controls) {
            fleet.stop(control);
        }
        for (Begun stream : begun) {
            RawHttp.Message answer = takeUp(2, stream, "");
            if (answer.status() == 200) {
                assertThat(software(answer.text())).containsExactly(stream.software());
            } else {
                assertThat(answer.status()).isEqualTo(503);
            }
        }
    }

    /** Sends as many whole streams as the allowance for resends takes to cover all broken ones. */
    private void earnResends() throws InterruptedException {
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < 6 * STREAMS; number++) {
            String request = get("/resumed/x", "whole" + number);
            callers.add(Thread.startVirtualThread(() -> fleet.statusOf(1, request)));
        }
        for (Thread caller : callers) {
            caller.join();
        }
    }

    /** Begins streams, each on a connection that its caller closes after the first event. */
    private List<Begun> begin(int host, String prefix, int count) throws IOException {
        List<Begun> begun = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            String id = prefix + number;
            begun.add(new Begun(id, begin(host, get("/resumed/x", id))));
        }
        return begun;
    }

    /** Begins a stream, and returns the version that its first event came from. */
    private String begin(int host, String request) throws IOException {
        try (Socket caller = fleet.callerOf(host)) {
            caller.getOutputStream().write(ascii(request));
            InputStream in = caller.getInputStream();
            assertThat(RawHttp.readHead(in).status()).isEqualTo(200);
            String event = new String(RawHttp.chunk(in), StandardCharsets.US_ASCII);
            return software(event).iterator().next();
        }
    }

    private List<RawHttp.Message> takeUp(int host, List<Begun> begun, String suffix)
            throws IOException {
        List<RawHttp.Message> answers = new ArrayList<>();
        for (Begun stream : begun) {
            answers.add(takeUp(host, stream, suffix));
        }
        return answers;
    }

    private RawHttp.Message takeUp(int host, Begun stream, String suffix) throws IOException {
        String request =
                RawHttp.get(
                        "/resumed/x",
                        "then-" + suffix + stream.id(),
                        "X-Deadline-Ms: 3000",
                        "Last-Event-Id: 1",
                        "Resumes: " + stream.id());
        return fleet.call(host, request);
    }

    /** Asserts that none holds events of two versions, and that nine in ten go on. */
    private static void assertGoOn(List<RawHttp.Message> answers, List<Begun> begun) {
        int goingOn = 0;
        for (int index = 0; index < answers.size(); index++) {
            RawHttp.Message answer = answers.get(index);
            if (answer.status() == 200) {
                goingOn++;
                assertThat(software(answer.text())).containsExactly(begun.get(index).software());
                assertThat(answer.text()).startsWith("id: 2\n").contains("id: " + EVENTS + "\n");
            }
        }
        assertThat(goingOn).isGreaterThanOrEqualTo(begun.size() * 9 / 10);
    }

    private static Set<String> software(String events) {
        return new TreeSet<>(
                SOFTWARE.matcher(events).results().map((MatchResult one) -> one.group(1)).toList());
    }
}
