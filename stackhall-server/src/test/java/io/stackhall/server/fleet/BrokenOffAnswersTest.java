package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers that an upstream breaks off, however they are framed, never look complete. */
class BrokenOffAnswersTest extends RelayFixture {

    /** A stream of three events, and where it is broken off. */
    enum Cut {
        WITHIN_A_LINE("\n", "id: 2\nda"),
        BEFORE_THE_LAST_LINE_FEED("\n", "id: 2\ndata: b\n"),
        BETWEEN_CARRIAGE_RETURN_AND_LINE_FEED("\r\n", "id: 2\r\ndata: b\r\n\r"),
        WITHIN_THE_FIRST_EVENT("\n", "id: 1\nda");

        private final String lineEnd;
        private final String unfinished;

        Cut(String lineEnd, String unfinished) {
            this.lineEnd = lineEnd;
            this.unfinished = unfinished;
        }

        String wholeEvents() {
            return this == WITHIN_THE_FIRST_EVENT ? "" : event(1);
        }

        String event(int id) {
            return "id: " + id + lineEnd + "data: b" + lineEnd + lineEnd;
        }

        String wholeStream() {
            return event(1) + event(2) + event(3);
        }
    }

    /** How the upstream ends its answer, though it is not whole. */
    enum End {
        CLOSE("Connection: close"),
        LAST_CHUNK("Transfer-Encoding: chunked"),
        LENGTH("Content-Length: %d");

        private final String header;

        End(String header) {
            this.header = header;
        }

        void send(RawHttp.Message request, ScriptedUpstream.Connection to, String body)
                throws IOException {
            to.write(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            + String.format(header, body.length())
                            + "\r\nX-Request-Id: "
                            + request.header("x-request-id")
                            + "\r\n\r\n");
            if (this == LAST_CHUNK) {
                to.chunk(body);
                to.chunk("");
            } else {
                to.write(body);
            }
            if (this == CLOSE) {
                to.socket().close();
            }
        }
    }

    static Stream<Arguments> brokenOff() {
        return Arrays.stream(End.values())
                .flatMap(end -> Arrays.stream(Cut.values()).map(cut -> Arguments.of(end, cut)));
    }

    // A caller took the half of a summary for all of it.
    @ParameterizedTest
    @MethodSource("brokenOff")
    void streamThatEndsWithinAnEventDoesNotLookComplete(End end, Cut cut) throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> end.send(request, to, cut.wholeEvents() + cut.unfinished);
        try (ScriptedUpstream upstream = upstream(script);
                Socket caller = fleet.callerOf(1)) {
            caller.getOutputStream().write(ascii(get("/stream/x", "r1")));
            InputStream in = caller.getInputStream();
            int status = RawHttp.readHead(in).status();
            if (cut.wholeEvents().isEmpty()) {
                assertThat(status).isEqualTo(502);
            } else {
                assertThat(status).isEqualTo(200);
                assertThat(chunksUntilBroken(in)).isEqualTo(cut.wholeEvents());
            }
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    // A caller took the half of an answer, whose upstream was killed, for all of it.
    @Test
    void answerWithoutALengthWhoseUpstreamDiesDoesNotLookComplete() throws Exception {
        AtomicReference<ScriptedUpstream> dying = new AtomicReference<>();
        ScriptedUpstream.Script script =
                (request, to) -> {
                    to.write(unframedHead(request, "text/plain") + "the first ha");
                    dying.get().close();
                };
        try (ScriptedUpstream upstream = upstream(script)) {
            dying.set(upstream);
            assertThat(fleet.call(1, get("/once/x", "r1")).status()).isEqualTo(502);
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    // A stream looked complete though its upstream was killed between two events.
    @Test
    void streamWithoutALengthWhoseUpstreamDiesDoesNotLookComplete() throws Exception {
        AtomicReference<ScriptedUpstream> dying = new AtomicReference<>();
        String events = "id: 1\ndata: b\n\n";
        ScriptedUpstream.Script script =
                (request, to) -> {
                    to.write(unframedHead(request, "text/event-stream") + events);
                    dying.get().close();
                };
        try (ScriptedUpstream upstream = upstream(script);
                Socket caller = fleet.callerOf(1)) {
            dying.set(upstream);
            caller.getOutputStream().write(ascii(get("/stream/x", "r1")));
            assertThat(RawHttp.readHead(caller.getInputStream()).status()).isEqualTo(200);
            assertThat(chunksUntilBroken(caller.getInputStream())).isEqualTo(events);
        }
    }

    @Test
    void answerWithoutALengthIsWholeWhereItsUpstreamGoesOn() throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> {
                    to.write(unframedHead(request, "text/plain") + "all of it");
                    to.socket().close();
                };
        try (ScriptedUpstream upstream = upstream(script)) {
            RawHttp.Message answer = fleet.call(1, get("/once/x", "r1"));
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.text()).isEqualTo("all of it");
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    private static String unframedHead(RawHttp.Message request, String type) {
        return "HTTP/1.1 200 OK\r\nContent-Type: "
                + type
                + "\r\nConnection: close\r\nX-Request-Id: "
                + request.header("x-request-id")
                + "\r\n\r\n";
    }

    // A caller got an empty answer with status 200 for a stream that had not begun.
    @Test
    void streamWhoseConnectionEndsBeforeAnEventDoesNotLookComplete() throws Exception {
        ScriptedUpstream.Script script = (request, to) -> End.CLOSE.send(request, to, "");
        try (ScriptedUpstream upstream = upstream(script)) {
            assertThat(fleet.call(1, get("/stream/x", "r1")).status()).isEqualTo(502);
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    // Callers that cannot read chunks got their marks among the events.
    @Test
    void callerWithoutChunksGetsTheEventsAlone() throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> End.LAST_CHUNK.send(request, to, "id: 1\ndata: b\n\n");
        try (ScriptedUpstream upstream = upstream(script)) {
            RawHttp.Message answer = fleet.call(1, olderCallersRequest());
            assertThat(answer.header("transfer-encoding")).isEmpty();
            assertThat(answer.text()).isEqualTo("id: 1\ndata: b\n\n");
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    // To a caller without chunks, a connection that ends in good order is the end of the answer.
    @Test
    void brokenStreamIsResetForACallerWithoutChunks() throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> {
                    to.streamHead(request);
                    to.chunk("id: 1\ndata: b\n\nid: 2\nda");
                    pause(50);
                    to.reset();
                };
        try (ScriptedUpstream upstream = upstream(script)) {
            assertThatThrownBy(() -> fleet.call(1, olderCallersRequest()))
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("reset");
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    // The answer to HEAD names a length and has no body, which the host waited for in vain.
    @Test
    void answerToAHeadRequestIsWholeWithoutABody() throws Exception {
        ScriptedUpstream.Script script =
                (request, to) ->
                        to.write(
                                "HTTP/1.1 200 OK\r\nContent-Length: 700\r\nX-Request-Id: "
                                        + request.header("x-request-id")
                                        + "\r\n\r\n");
        try (ScriptedUpstream upstream = upstream(script);
                Socket caller = fleet.callerOf(1)) {
            String request = get("/once/x", "r1").replace("GET", "HEAD");
            caller.getOutputStream().write(ascii(request));
            RawHttp.Message head = RawHttp.readHead(caller.getInputStream());
            assertThat(head.status()).isEqualTo(200);
            assertThat(head.header("content-length")).isEqualTo("700");
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    // A length of 0 took the place of that of the body which the caller has, or asks about.
    @ParameterizedTest
    @CsvSource({"HEAD,200,''", "GET,304,''", "GET,304,700"})
    void answerWithoutABodyIsGivenALength(String method, int status, String length)
            throws Exception {
        String told = length.isEmpty() ? "" : "Content-Length: " + length + "\r\n";
        ScriptedUpstream.Script script =
                (request, to) ->
                        to.write(
                                ("HTTP/1.1 " + status + " X\r\n" + told + "X-Request-Id: ")
                                        + (request.header("x-request-id") + "\r\n\r\n"));
        try (ScriptedUpstream upstream = upstream(script);
                Socket caller = fleet.callerOf(1)) {
            String request = get("/once/x", "r1").replace("GET", method);
            caller.getOutputStream().write(ascii(request));
            RawHttp.Message head = RawHttp.readHead(caller.getInputStream());
            assertThat(head.status()).isEqualTo(status);
            assertThat(head.header("content-length")).isEqualTo(length);
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    // A body or last chunk behind the answer to HEAD was read as the next answer.
    @ParameterizedTest
    @ValueSource(strings = {"/nowhere/x", "/stream/x"})
    void nothingFollowsTheAnswerToAHeadRequest(String path) throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> {
                    if (request.startLine().startsWith("HEAD")) {
                        to.streamHead(request);
                    } else {
                        to.plain(request, 200, "next");
                    }
                };
        try (ScriptedUpstream upstream = upstream(script);
                Socket caller = fleet.callerOf(1)) {
            caller.getOutputStream().write(ascii(get(path, "r1").replace("GET", "HEAD")));
            RawHttp.readHead(caller.getInputStream());
            RawHttp.Message next = LocalFleet.exchange(caller, get("/once/x", "r2"));
            assertThat(next.startLine()).startsWith("HTTP/1.1 200");
            assertThat(next.text()).isEqualTo("next");
            assertThat(upstream.requests()).isNotEmpty();
        }
    }

    private static String olderCallersRequest() {
        return get("/stream/x", "r1").replace("HTTP/1.1", "HTTP/1.0");
    }

    // The rest of a broken stream was lost to its caller, though another upstream could go on.
    @ParameterizedTest
    @MethodSource("brokenOff")
    void streamThatEndsWithinAnEventGoesOnElsewhere(End end, Cut cut) throws Exception {
        ScriptedUpstream.Script broken =
                (request, to) -> end.send(request, to, cut.wholeEvents() + cut.unfinished);
        ScriptedUpstream.Script rest =
                (request, to) -> {
                    int last = Integer.parseInt("0" + request.header("last-event-id"));
                    String events = cut.wholeStream().substring(last * cut.event(1).length());
                    End.CLOSE.send(request, to, events);
                };
        List<String> order = new CopyOnWriteArrayList<>();
        ScriptedUpstream.Script script =
                (request, to) -> {
                    order.add(request.header("x-request-id"));
                    (order.size() == 1 ? broken : rest).answer(request, to);
                };
        try (ScriptedUpstream one = upstream("i-1", script);
                ScriptedUpstream two = upstream("i-2", script)) {
            RawHttp.Message answer = fleet.call(1, get("/resumed/x", "r1"));
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.text()).isEqualTo(cut.wholeStream());
            assertThat(one.requests()).hasSize(1);
            assertThat(two.requests()).hasSize(1);
        }
    }

    /** Reads chunks until the connection ends; fails if a last chunk comes. */
    private static String chunksUntilBroken(InputStream in) {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try {
            while (true) {
                byte[] chunk = RawHttp.chunk(in);
                assertThat(chunk).as("a last chunk after " + received).isNotEmpty();
                received.write(chunk);
            }
        } catch (IOException expected) {
            return received.toString(StandardCharsets.US_ASCII);
        }
    }
}
