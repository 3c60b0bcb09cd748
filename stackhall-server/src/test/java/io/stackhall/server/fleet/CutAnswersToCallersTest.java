package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.relay.AnswerTable;
import io.stackhall.server.relay.AnswerTable.Answer;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What callers get of answers that their upstreams cut at any byte. */
class CutAnswersToCallersTest extends RelayFixture {

    /** Instances that have broken off are passed over for a while. */
    private static final int UPSTREAMS = 40;

    private static final int CALLERS = 8;
    private static final int CUTS = 3;
    private static final int MAX_TRIES = 60;

    private final Map<String, Case> cases = new ConcurrentHashMap<>();
    private final Map<String, Integer> sent = new ConcurrentHashMap<>();
    private final Queue<String> wrong = new ConcurrentLinkedQueue<>();

    /** An answer, after how many bytes it is cut, and how its connection ends then. */
    private record Case(Answer answer, int cut, boolean inOrder) {
        boolean isWhole() {
            return answer.isWhole(cut, inOrder);
        }
    }

    // Callers got a success with an empty or short body for an answer that was cut in its head.
    @ParameterizedTest
    @CsvSource({
        "/once/x, HTTP/1.1",
        "/safe/x, HTTP/1.1",
        "/stream/x, HTTP/1.1",
        "/resumed/x, HTTP/1.1",
        "/once/x, HTTP/1.0",
        "/resumed/x, HTTP/1.0"
    })
    void cutAnswerDoesNotLookWhole(String path, String version) throws Exception {
        List<ScriptedUpstream> upstreams = new ArrayList<>();
        for (int number = 1; number <= UPSTREAMS; number++) {
            ScriptedUpstream upstream = new ScriptedUpstream("i-" + number, this::answer);
            upstreams.add(upstream);
            heartbeat(upstream);
        }
        pause(300);
        createCases();
        try (ScheduledExecutorService heartbeats = Executors.newScheduledThreadPool(1);
                ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
            heartbeats.scheduleWithFixedDelay(
                    () -> upstreams.forEach(this::heartbeat), 1, 1, TimeUnit.SECONDS);
            cases.keySet().forEach(id -> callers.execute(() -> call(path, version, id)));
            callers.shutdown();
            assertThat(callers.awaitTermination(60, TimeUnit.SECONDS)).isTrue();
            heartbeats.shutdownNow();
        }
        for (ScriptedUpstream upstream : upstreams) {
            upstream.close();
        }
        assertThat(wrong).isEmpty();
        assertThat(sent).as("all cases were sent").hasSameSizeAs(cases);
    }

    private void heartbeat(ScriptedUpstream upstream) {
        try {
            fleet.heartbeat(2, upstream, upstream.heartbeat("plain", "ready", 1, "[]"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void createCases() {
        Random random = new Random(1);
        AnswerTable.answersOfTheirOwn()
                .forEach(
                        one -> {
                            for (int number = 0; number <= CUTS; number++) {
                                String id = "r" + cases.size();
                                Answer answer = one.named("X-Request-Id", id);
                                int length = answer.bytes().length();
                                int cut = number == 0 ? length : random.nextInt(length);
                                boolean inOrder = number == 0 || random.nextInt(3) > 0;
                                cases.put(id, new Case(answer, cut, inOrder));
                            }
                        });
    }

    private void answer(RawHttp.Message request, ScriptedUpstream.Connection to)
            throws IOException {
        String id = request.header("x-request-id");
        Case due = cases.get(id);
        if (due == null) {
            to.plain(request, 200, "well");
            return;
        }
        sent.merge(id, 1, Integer::sum);
        to.write(due.answer.bytes().substring(0, due.cut));
        if (due.inOrder) {
            to.socket().close();
        } else {
            to.reset();
        }
    }

    /** Calls until the request has been sent to an upstream. */
    private void call(String path, String version, String id) {
        for (int tries = 0; tries < MAX_TRIES && !sent.containsKey(id); tries++) {
            byte[] received = received(path, version, id);
            if (sent.containsKey(id)) {
                check(id, received);
            } else {
                pause(100);
            }
        }
    }

    private void check(String id, byte[] received) {
        Case due = cases.get(id);
        boolean success;
        String body;
        try {
            RawHttp.Message got = RawHttp.read(new ByteArrayInputStream(received), true);
            String length = got.header("content-length");
            boolean cut = !length.isEmpty() && Integer.parseInt(length) > got.body().length;
            success = !cut && got.status() < 500;
            body = got.text();
        } catch (IOException e) {
            success = false;
            body = e.toString();
        }
        boolean looksRight = due.isWhole() && body.equals(due.answer.body(due.cut));
        if (success && !looksRight) {
            wrong.add(due + ": " + new String(received, StandardCharsets.US_ASCII));
        }
        boolean plainSuccess = due.answer.head().contains(" 20");
        if (!success && plainSuccess && due.cut == due.answer.bytes().length() && due.isWhole()) {
            wrong.add(due + " is lost: " + body);
        }
    }

    /** Returns all that comes on a new connection; nothing where it is reset. */
    private byte[] received(String path, String version, String id) {
        try (Socket caller = fleet.callerOf(1)) {
            String request = RawHttp.get(path, id, "X-Deadline-Ms: 3000", "Connection: close");
            caller.getOutputStream().write(ascii(request.replace("HTTP/1.1", version)));
            return caller.getInputStream().readAllBytes();
        } catch (IOException e) {
            return new byte[0];
        }
    }
}
