package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Answers to several requests on one connection of an upstream, an operator or a caller. */
class AnswersOfOneConnectionTest extends RelayFixture {

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

    private static void send(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
    }
}
