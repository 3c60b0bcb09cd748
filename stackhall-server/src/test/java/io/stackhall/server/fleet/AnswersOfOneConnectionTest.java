package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Answers to several requests on one connection of an upstream, an operator or a caller. */
class AnswersOfOneConnectionTest extends RelayFixture {

    private static final String HEAD_WITHOUT_ROUTE =
            "HEAD /x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n\r\n";

    /** Whoever sent the change would take the refusal of another call for its own. */
    @Test
    void quickAnswerOvertakesThatToAnEarlierCall() throws Exception {
        String change = ROUTES.replace("\"version\":3", "\"version\":4");
        int length = change.getBytes(StandardCharsets.UTF_8).length;
        String put = "POST /-/config/put HTTP/1.1\r\nHost: c\r\nContent-Length: " + length;
        String unknown = "GET /-/unknown HTTP/1.1\r\nHost: c\r\n\r\n";
        try (Socket socket = fleet.controlCaller(1)) {
            send(socket, put + "\r\n\r\n" + change + unknown + put + "\r\n\r\n" + change);
            InputStream in = socket.getInputStream();
            assertThat(RawHttp.read(in, true).status()).isEqualTo(200);
            assertThat(RawHttp.read(in, true).status()).isEqualTo(404);
            assertThat(RawHttp.read(in, true).status()).isEqualTo(200);
        }
    }

    /** The same for the refusal of a body beyond the bound, behind which further calls come. */
    @Test
    void refusalOfATooLongCallOvertakesTheAnswerToAnEarlierCall() throws Exception {
        String change = ROUTES.replace("\"version\":3", "\"version\":4");
        String tooLong = "x".repeat(17 << 20);
        String put = "POST /-/config/put HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n";
        try (Socket socket = fleet.controlCaller(1)) {
            String accepted = put.formatted(change.length()) + change;
            String refused = put.formatted(tooLong.length()) + tooLong;
            send(socket, accepted + refused + "GET /-/unknown HTTP/1.1\r\nHost: c\r\n\r\n");
            InputStream in = socket.getInputStream();
            assertThat(RawHttp.read(in, true).status()).isEqualTo(200);
            assertThat(RawHttp.read(in, true).status()).isEqualTo(413);
            assertThat(RawHttp.read(in, true).status()).isEqualTo(404);
        }
    }

    /** The same for one whose caller asks before it sends the body, or expects something else. */
    @ParameterizedTest
    @CsvSource({"100-continue,17825792,413,close", "something,0,404,''"})
    void refusalOfAnExpectationOvertakesTheAnswerToAnEarlierCall(
            String expectation, long length, int status, String connection) throws Exception {
        String change = ROUTES.replace("\"version\":3", "\"version\":4");
        String post = "POST /-/%s HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n%s\r\n";
        try (Socket socket = fleet.controlCaller(1)) {
            String accepted = post.formatted("config/put", change.length(), "") + change;
            String expecting = "Expect: " + expectation + "\r\n";
            send(socket, accepted + post.formatted("unknown", length, expecting));
            InputStream in = socket.getInputStream();
            assertThat(RawHttp.read(in, true).status()).isEqualTo(200);
            RawHttp.Message refusal = RawHttp.read(in, true);
            assertThat(refusal.status()).isEqualTo(status);
            assertThat(refusal.header("connection")).isEqualTo(connection);
        }
    }

    /** Each answer was written within the writing of the one before, until the stack was full. */
    @Test
    void requestsThatWaitForASlowOneAreLeftUnanswered() throws Exception {
        String body = "x".repeat(90_000);
        String post = "POST /x HTTP/1.1\r\nHost: c\r\nContent-Length: 90000\r\n\r\n" + body;
        String waiting = "GET /x HTTP/1.1\r\nHost: c\r\n\r\n".repeat(1_500);
        ScriptedUpstream.Script slow =
                (request, to) -> {
                    pause(1_000);
                    to.plain(request, 200, "late");
                };
        try (ScriptedUpstream upstream = upstream(slow);
                Socket socket = fleet.callerOf(1)) {
            socket.setSoTimeout(10_000);
            InputStream in = socket.getInputStream();
            for (int times = 0; times < 6; times++) {
                // The host reads in larger pieces from here on.
                send(socket, post);
                assertThat(RawHttp.read(in, true).status()).isEqualTo(404);
            }
            send(socket, get("/safe/x", "r1") + waiting);
            for (int answer = 0; answer <= 1_500; answer++) {
                assertThat(RawHttp.read(in, true).startLine()).startsWith("HTTP/1.1 ");
            }
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    /** Its caller would wait for a body that never comes, and take the next answer for it. */
    @Test
    void refusalOfAMalformedRequestIsWithoutItsBodyAfterHead() throws Exception {
        try (Socket socket = fleet.callerOf(1)) {
            send(socket, HEAD_WITHOUT_ROUTE);
            assertThat(RawHttp.readHead(socket.getInputStream()).status()).isEqualTo(404);
            send(socket, "GET no version\r\n\r\n");
            assertRefusedWithItsBody(socket, 400);
        }
    }

    /** The same for one whose head does not arrive. */
    @Test
    void refusalOfALateHeadIsWithoutItsBodyAfterHead() throws Exception {
        try (Socket socket = fleet.callerOf(1)) {
            send(socket, HEAD_WITHOUT_ROUTE);
            assertThat(RawHttp.readHead(socket.getInputStream()).status()).isEqualTo(404);
            send(socket, "GET /safe/x HTTP/1.1\r\n");
            assertRefusedWithItsBody(socket, 408);
        }
    }

    /** Bytes behind the head would be taken for the next answer. */
    @Test
    void refusalOfATooLongHeadRequestHasABody() throws Exception {
        try (Socket socket = fleet.callerOf(1)) {
            send(
                    socket,
                    "HEAD /safe/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100001\r\n\r\n");
            InputStream in = socket.getInputStream();
            assertThat(RawHttp.readHead(in).status()).isEqualTo(413);
            assertThat(in.readAllBytes()).isEmpty();
        }
    }

    private static void assertRefusedWithItsBody(Socket socket, int status) throws IOException {
        RawHttp.Message answer = RawHttp.read(socket.getInputStream(), true);
        assertThat(answer.status()).isEqualTo(status);
        assertThat(answer.header("content-length"))
                .isNotEqualTo("0")
                .isEqualTo(Integer.toString(answer.body().length));
    }

    private static void send(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
    }
}
