package io.stackhall.tests.harness;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * An upstream whose streams last for some time. Each event names its software, and whatever another
 * one has begun it goes on with.
 */
public final class StreamingUpstream implements AutoCloseable {

    /** The number of events of a whole stream. */
    public static final int EVENTS = 12;

    private static final long PAUSE_MILLIS = 150;

    /** The event after which streams are held. */
    private static final int HELD_AFTER = EVENTS / 2;

    private final String software;
    private final Heartbeats heartbeats;
    private final HttpServer server;
    private final AtomicBoolean alive = new AtomicBoolean(true);
    private volatile boolean held;

    StreamingUpstream(String software) throws IOException {
        this.software = software;
        this.heartbeats = new Heartbeats("plain", software);
        this.server =
                HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::stream);
        server.start();
    }

    /** Returns what it says of itself, empty once it has ended. */
    Optional<String> heartbeat() {
        return alive.get()
                ? Optional.of(heartbeats.next(server.getAddress().getPort()))
                : Optional.empty();
    }

    /** Lets no stream end from now on: after some events only comments come. */
    public void hold() {
        held = true;
    }

    /** Lets streams go on to their end again. */
    public void release() {
        held = false;
    }

    /** Ends at once, with the streams that it runs. */
    @Override
    public void close() {
        alive.set(false);
        server.stop(0);
    }

    private void stream(HttpExchange exchange) throws IOException {
        String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        int from = last == null ? 0 : Integer.parseInt(last);
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        exchange.getResponseHeaders().set("X-Request-Id", id);
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream body = exchange.getResponseBody()) {
            for (int event = from + 1; event <= EVENTS; event++) {
                while (held && event > HELD_AFTER) {
                    send(body, ": held\n\n");
                }
                send(body, "id: " + event + "\ndata: " + software + "\n\n");
            }
        }
    }

    private static void send(OutputStream body, String text) throws IOException {
        body.write(text.getBytes(StandardCharsets.US_ASCII));
        body.flush();
        Eventually.pause(PAUSE_MILLIS);
    }
}
