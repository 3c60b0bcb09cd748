package io.stackhall.tests.harness;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Serves requests without bodies, and sends a share of its answers a second time on their
 * connection: in the place of a later one, whole or cut in its head, or right behind themselves. It
 * also sends plain answers with malformed heads, none of which may reach a caller.
 */
final class RepeatingServer implements AutoCloseable {

    /** One in so many answers is preceded by a copy of an earlier one. */
    private static final int LATE_SHARE = 4;

    /** One in so many of these copies is cut within its head. */
    private static final int CUT_SHARE = 4;

    /** One in so many answers is followed by its copy at once. */
    private static final int AT_ONCE_SHARE = 16;

    /** One in so many plain answers has a malformed head. */
    private static final int MALFORMED_SHARE = 32;

    /** A status that no caller can get. */
    private static final int NO_STATUS = -1;

    private static final String LENGTH = "Content-Length";

    /** By how many answers a copy is late at most. */
    private static final int MOST_LATE = 6;

    /** Between the two halves of a stream, so that hosts end in the middle of it. */
    private static final long PAUSE_MILLIS = 20;

    private static final String END_OF_HEAD = "\r\n\r\n";

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final Random random;
    private final RunLog runs;
    private final Handler handler;
    private final ServerSocket server;

    /** Decides what a request is answered. */
    @FunctionalInterface
    interface Handler {
        /** Returns the answer to a request. */
        Answer answer(Request request);
    }

    /**
     * A request.
     *
     * @param id empty if it has none
     * @param lastEvent the number of the event after which a stream goes on, 0 if it begins
     * @param spoiled whether no host can hear its answer, as that comes behind a copy that is cut
     *     or would have a malformed head
     */
    record Request(String path, String id, int lastEvent, boolean spoiled) {}

    /** An answer. */
    sealed interface Answer {}

    /**
     * An answer whose body names its run.
     *
     * @param headers whole header lines without their ends
     */
    record Plain(int status, String... headers) implements Answer {}

    /**
     * A stream, of which the second half is sent somewhat later.
     *
     * @param reset whether its connection is reset after it
     */
    record Stream(Framing framing, String body, boolean reset) implements Answer {}

    /** How the end of a stream is told. */
    enum Framing {
        LENGTH,
        CHUNKS,
        CONNECTION
    }

    RepeatingServer(long seed, RunLog runs, Handler handler) throws IOException {
        this.random = new Random(seed);
        this.runs = runs;
        this.handler = handler;
        this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        threads.submit(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() {
        threads.shutdownNow();
        try {
            server.close();
        } catch (IOException e) {
            // Nobody listens any more in either case.
        }
    }

    private Void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            threads.submit(() -> serve(socket));
        }
    }

    private Void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            List<String> sent = new ArrayList<>();
            for (String first = in.readLine(); first != null; first = in.readLine()) {
                String copy = lateCopy(sent);
                boolean cut = !copy.isEmpty() && !copy.contains(END_OF_HEAD);
                boolean malformed = draw(MALFORMED_SHARE) == 0;
                Request request = readHeaders(path(first), in, cut || malformed);
                Answer answer = handler.answer(request);
                String bytes = bytes(request, answer, malformed);
                sent.add(bytes);
                send(socket, answer, copy + bytes, bytes);
            }
        }
        return null;
    }

    private static String path(String requestLine) {
        return requestLine.substring(requestLine.indexOf(' ') + 1, requestLine.lastIndexOf(' '));
    }

    private static Request readHeaders(String path, BufferedReader in, boolean spoiled)
            throws IOException {
        String id = "";
        int lastEvent = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            String header = line.toLowerCase(Locale.ROOT);
            String value = line.substring(line.indexOf(':') + 1).strip();
            if (header.startsWith("x-request-id:")) {
                id = value;
            } else if (header.startsWith("last-event-id:")) {
                lastEvent = Integer.parseInt(value);
            }
        }
        return new Request(path, id, lastEvent, spoiled);
    }

    private String bytes(Request request, Answer answer, boolean malformed) {
        String echo = request.id().isEmpty() ? "" : "X-Request-Id: " + request.id() + "\r\n";
        return switch (answer) {
            case Plain plain ->
                    malformed
                            ? malformed(bytes(request, plain, echo, NO_STATUS), plain.status())
                            : bytes(request, plain, echo, plain.status());
            case Stream stream ->
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            + echo
                            + framed(stream);
        };
    }

    /** Returns a plain answer, which is recorded with a status of its own. */
    private String bytes(Request request, Plain answer, String echo, int recorded) {
        boolean ran = Arrays.stream(answer.headers()).noneMatch(RunLog.NOT_RUN::equals);
        String body = runs.add(request.path(), request.id(), recorded, ran);
        StringBuilder head =
                new StringBuilder("HTTP/1.1 " + answer.status() + " Drawn\r\n").append(echo);
        for (String header : answer.headers()) {
            head.append(header).append("\r\n");
        }
        return head.append(LENGTH).append(": ").append(body.length()).append(END_OF_HEAD) + body;
    }

    private String malformed(String answer, int status) {
        return switch (draw(3)) {
            case 0 -> answer.replaceFirst(" " + status + " ", " 000 ");
            case 1 -> answer.replaceFirst(LENGTH, "X Note: a\r\n" + LENGTH);
            default -> answer.replaceFirst(LENGTH, LENGTH + " x");
        };
    }

    private static String framed(Stream stream) {
        String body = stream.body();
        return switch (stream.framing()) {
            case LENGTH -> "Content-Length: " + body.length() + END_OF_HEAD + body;
            case CHUNKS ->
                    "Transfer-Encoding: chunked"
                            + END_OF_HEAD
                            + Integer.toHexString(body.length())
                            + "\r\n"
                            + body
                            + "\r\n0"
                            + END_OF_HEAD;
            case CONNECTION -> "\r\n" + body;
        };
    }

    /** Sends an answer with what comes before it, or ends its connection, or repeats it. */
    private void send(Socket socket, Answer answer, String text, String copy) throws IOException {
        OutputStream out = socket.getOutputStream();
        String behind = draw(AT_ONCE_SHARE) == 0 ? copy : "";
        switch (answer) {
            case Plain plain -> out.write(latin(text + behind));
            case Stream stream -> {
                boolean ends = stream.reset() || stream.framing() == Framing.CONNECTION;
                out.write(latin(text.substring(0, text.length() / 2)));
                Eventually.pause(PAUSE_MILLIS);
                out.write(latin(text.substring(text.length() / 2) + (ends ? "" : behind)));
                if (stream.reset()) {
                    socket.setSoLinger(true, 0);
                }
                if (ends) {
                    socket.close();
                }
            }
        }
    }

    private static byte[] latin(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private String lateCopy(List<String> sent) {
        if (sent.isEmpty() || draw(LATE_SHARE) > 0) {
            return "";
        }
        String copy = sent.get(sent.size() - 1 - draw(Math.min(MOST_LATE, sent.size())));
        int head = copy.indexOf(END_OF_HEAD);
        return draw(CUT_SHARE) == 0 ? copy.substring(0, 1 + draw(head)) : copy;
    }

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }
}
