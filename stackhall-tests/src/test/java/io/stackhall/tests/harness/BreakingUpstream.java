package io.stackhall.tests.harness;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An upstream whose streams it frames in different ways, and of which it breaks off a share within
 * an event. What another one has begun it finishes whole. Each event names its software.
 */
final class BreakingUpstream implements AutoCloseable {

    static final String SERVICE = "breaking";

    private static final int EVENTS = 3;

    /** Between the two halves of an answer, so that hosts end in the middle of streams. */
    private static final long PAUSE_MILLIS = 20;

    /** One in so many streams that begin here is broken off. */
    private static final int BROKEN_SHARE = 3;

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final Heartbeats heartbeats;
    private final AtomicLong brokenOff = new AtomicLong();
    private final String name;
    private final String software;
    private final Random random;
    private final ServerSocket server;

    /** How the end of an answer is told. */
    private enum Framing {
        LENGTH,
        CHUNKS,
        CONNECTION
    }

    BreakingUpstream(String name, String software, long seed) throws IOException {
        this.name = name;
        this.software = software;
        this.heartbeats = new Heartbeats(SERVICE, software);
        this.random = new Random(seed);
        this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        threads.submit(this::accept);
    }

    String name() {
        return name;
    }

    /** Returns what it says of itself. */
    String heartbeat() {
        return heartbeats.next(server.getLocalPort());
    }

    /** Returns how many streams it has broken off. */
    long brokenOff() {
        return brokenOff.get();
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
            threads.submit(() -> serve(socket));
        }
    }

    private Void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            while (in.readLine() != null) {
                String id = "";
                int lastEvent = 0;
                for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
                    String header = line.toLowerCase(Locale.ROOT);
                    String value = line.substring(line.indexOf(':') + 1).strip();
                    if (header.startsWith("x-request-id:")) {
                        id = value;
                    } else if (header.startsWith("last-event-id:")) {
                        lastEvent = Integer.parseInt(value);
                    }
                }
                answer(socket, id, lastEvent);
            }
        }
        return null;
    }

    private void answer(Socket socket, String id, int lastEvent) throws IOException {
        Framing framing = Framing.values()[draw(Framing.values().length)];
        String body = stream(software).substring(lastEvent * event(1, software).length());
        boolean breaksOff = lastEvent == 0 && draw(BROKEN_SHARE) == 0;
        if (breaksOff) {
            brokenOff.incrementAndGet();
            int within = 1 + draw(event(1, software).length() - 1);
            body = body.substring(0, draw(EVENTS) * event(1, software).length() + within);
        }
        OutputStream out = socket.getOutputStream();
        byte[] message = message(framing, id, body).getBytes(StandardCharsets.ISO_8859_1);
        out.write(message, 0, message.length / 2);
        out.flush();
        Eventually.pause(PAUSE_MILLIS);
        out.write(message, message.length / 2, message.length - message.length / 2);
        out.flush();
        if (breaksOff && draw(2) == 0) {
            socket.setSoLinger(true, 0);
            socket.close();
        } else if (framing == Framing.CONNECTION) {
            socket.close();
        }
    }

    private static String message(Framing framing, String id, String body) {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id;
        return switch (framing) {
            case LENGTH -> head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            case CHUNKS -> head + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body);
            case CONNECTION -> head + "\r\n\r\n" + body;
        };
    }

    private static String chunks(String body) {
        return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
    }

    /** Returns the whole stream that each request asks for, from one version of the software. */
    static String stream(String software) {
        StringBuilder stream = new StringBuilder();
        for (int number = 1; number <= EVENTS; number++) {
            stream.append(event(number, software));
        }
        return stream.toString();
    }

    private static String event(int number, String software) {
        return "id: " + number + "\ndata: " + software + "\n\n";
    }

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }
}
