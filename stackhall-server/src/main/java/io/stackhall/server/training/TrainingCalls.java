package io.stackhall.server.training;

import io.stackhall.server.settings.Address;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The calls that a training run sends, and how it reads their answers. */
final class TrainingCalls {

    static final int OK = 200;

    private static final int TIMEOUT_MILLIS = 5000;

    private TrainingCalls() {}

    static String post(String path, String body) {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        return head("POST " + path, List.of("Content-Length: " + length)) + body;
    }

    static String get(String path, List<String> headers) {
        return head("GET " + path, headers);
    }

    static String get(String path) {
        return head("GET " + path, List.of());
    }

    /** Returns a request after whose answer the connection stays open. */
    static String keptGet(String path, List<String> headers) {
        return open("GET " + path, headers) + "\r\n";
    }

    /** Sends a request on a connection of its own, and returns the status of the whole answer. */
    static int status(Address address, String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address.socket(), TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            String[] words = answer.split(" ", 3);
            if (words.length < 3) {
                throw new IOException("no answer to " + request.lines().findFirst().orElse(""));
            }
            return Integer.parseInt(words[1]);
        }
    }

    private static String head(String call, List<String> headers) {
        return open(call, headers) + "Connection: close\r\n\r\n";
    }

    private static String open(String call, List<String> headers) {
        StringBuilder head = new StringBuilder(call).append(" HTTP/1.1\r\nHost: training\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        return head.toString();
    }
}
