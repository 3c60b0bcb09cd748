package io.stackhall.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** What tests rely on of an upstream that they close. */
class ScriptedUpstreamTest {

    private static final int ROUNDS = 300;
    private static final int TIMEOUT_MILLIS = 500;

    // Its reset counted as a crash of an instance that had served nothing.
    @Test
    void closedUpstreamTakesAConnection() throws Exception {
        int taken = 0;
        for (int round = 0; round < ROUNDS; round++) {
            ScriptedUpstream upstream = new ScriptedUpstream("i-1", (request, to) -> {});
            upstream.close();
            taken += takesConnections(upstream.port()) ? 1 : 0;
        }
        assertThat(taken).isZero();
    }

    private static boolean takesConnections(int port) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), TIMEOUT_MILLIS);
            return true;
        } catch (ConnectException e) {
            return false;
        }
    }
}
