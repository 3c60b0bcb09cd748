package io.stackhall.tests.harness;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
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
 * connection: in the place of a later one, or right behind themselves. Each body names its run.
 */
final class RepeatingServer implements AutoCloseable {

    /** One in so many answers is preceded by a copy of an earlier one. */
    private static final int LATE_SHARE = 4;

    /** One in so many answers is followed by its copy at once. */
    private static final int AT_ONCE_SHARE = 16;

    /** By how many answers a copy is late at most. */
    private static final int MOST_LATE = 6;

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final Random random;
    private final RunLog runs;
    private final Handler handler;
    private final ServerSocket server;

    /** Decides what a request is answered. */
    @FunctionalInterface
    interface Handler {
        /** Returns the answer to a request for a path. */
        Answer answer(String path);
    }

    /**
     * An answer.
     *
     * @param headers whole header lines without their ends
     */
    record Answer(int status, String... headers) {}

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
                String answer = answer(path(first), readId(in));
                String bytes = lateCopy(sent) + answer + (draw(AT_ONCE_SHARE) == 0 ? answer : "");
                sent.add(answer);
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            }
        }
        return null;
    }

    private static String path(String requestLine) {
        return requestLine.substring(requestLine.indexOf(' ') + 1, requestLine.lastIndexOf(' '));
    }

    /** Reads the headers, and returns the id of the request. */
    private static String readId(BufferedReader in) throws IOException {
        String id = "";
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            if (line.toLowerCase(Locale.ROOT).startsWith("x-request-id:")) {
                id = line.substring(line.indexOf(':') + 1).strip();
            }
        }
        return id;
    }

    private String answer(String path, String id) {
        Answer answer = handler.answer(path);
        boolean ran = Arrays.stream(answer.headers()).noneMatch(RunLog.NOT_RUN::equals);
        String body = runs.add(path, id, answer.status(), ran);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + answer.status() + " Drawn\r\n");
        if (!id.isEmpty()) {
            head.append("X-Request-Id: ").append(id).append("\r\n");
        }
        for (String header : answer.headers()) {
            head.append(header).append("\r\n");
        }
        return head.append("Content-Length: ").append(body.length()).append("\r\n\r\n") + body;
    }

    private String lateCopy(List<String> sent) {
        int late = 1 + draw(MOST_LATE);
        return late <= sent.size() && draw(LATE_SHARE) == 0 ? sent.get(sent.size() - late) : "";
    }

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }
}
