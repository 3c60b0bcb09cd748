package io.stackhall.server.training;

import io.stackhall.platform.Headers;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An upstream that answers each request with one event, and ends the connection. */
final class TrainingUpstream implements AutoCloseable {

    private static final String EVENT = "id: 1\ndata: x\n\n";

    private static final String ID_LINE = Headers.REQUEST_ID + ":";

    private final ServerSocket server;

    /** Listens on loopback. */
    TrainingUpstream() throws IOException {
        server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        Thread.ofPlatform().daemon().name("training-upstream").start(this::serve);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void serve() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                answer(socket);
            } catch (IOException e) {
                // The caller sees a broken connection and tries again; a closed server ends here.
            }
        }
    }

    private static void answer(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String id = "";
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            if (line.regionMatches(true, 0, ID_LINE, 0, ID_LINE.length())) {
                id = line.substring(line.indexOf(':') + 1).strip();
            }
            line = reader.readLine();
        }
        String answer =
                "HTTP/1.1 200 OK\r\n"
                        + Headers.REQUEST_ID
                        + ": "
                        + id
                        + "\r\n"
                        + Headers.LOAD
                        + ": 1,0,8\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                        + Integer.toHexString(EVENT.length())
                        + "\r\n"
                        + EVENT
                        + "\r\n0\r\n\r\n";
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
    }
}
