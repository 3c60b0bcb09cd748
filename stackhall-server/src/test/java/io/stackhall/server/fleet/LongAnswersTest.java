package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Answers that are longer than what a host holds for one request. */
class LongAnswersTest extends RelayFixture {

    private static final String HALF = "x".repeat(1 << 20);

    // A host held each answer to its end, whatever its length.
    @Test
    void longAnswerIsPassedOnAsItComes() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        ScriptedUpstream.Script script =
                (request, to) -> {
                    head(request, to, "text/plain");
                    to.write(HALF);
                    await(begun);
                    to.write(HALF);
                    to.socket().close();
                };
        try (ScriptedUpstream upstream = upstream(script);
                Socket caller = fleet.callerOf(1)) {
            caller.getOutputStream().write(ascii(get("/once/x", "r1")));
            InputStream in = caller.getInputStream();
            assertThat(RawHttp.readHead(in).status()).isEqualTo(200);
            begun.countDown();
            int length = 0;
            for (byte[] chunk = RawHttp.chunk(in); chunk.length > 0; chunk = RawHttp.chunk(in)) {
                length += chunk.length;
            }
            assertThat(length).isEqualTo(2 * HALF.length());
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    @Test
    void longAnswerThatBreaksOffDoesNotLookComplete() throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> {
                    head(request, to, "text/plain");
                    to.write(HALF);
                    pause(100);
                    to.reset();
                };
        try (ScriptedUpstream upstream = upstream(script)) {
            assertThat(endsWhole("/once/x")).isFalse();
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    // One event without an end could fill the memory of its host.
    @Test
    void eventWithoutEndIsBrokenOff() throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> {
                    head(request, to, "text/event-stream");
                    to.write("data: " + HALF + HALF + "\n\n");
                    to.socket().close();
                };
        try (ScriptedUpstream upstream = upstream(script)) {
            assertThat(fleet.call(1, get("/stream/x", "r1")).status()).isEqualTo(502);
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    private boolean endsWhole(String path) throws IOException {
        try {
            return fleet.call(1, get(path, "r1")).status() == 200;
        } catch (IOException expected) {
            return false;
        }
    }

    private static void head(RawHttp.Message request, ScriptedUpstream.Connection to, String type)
            throws IOException {
        to.write(
                "HTTP/1.1 200 OK\r\nContent-Type: "
                        + type
                        + "\r\nX-Request-Id: "
                        + request.header("x-request-id")
                        + "\r\n\r\n");
    }
}
