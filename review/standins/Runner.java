import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound runner of a plain service: some slots and a short queue, heartbeats to any daemon, and the
 * checks that the wire's page names. It writes what it runs to the record.
 */
final class Runner {

    /** Told of every request that arrives, before the runner decides anything. */
    interface Listener {
        void arrived(Runner runner, String requestId);
    }

    private static final int EVENTS = 6;

    final String id;
    final String address;
    private final String service;
    private final String zone;
    private final int slots;
    private final int workMillis;
    private final List<String> controls;
    private final Record record;
    private final Listener listener;
    private final ServerSocket server;
    private final Semaphore free;
    private final AtomicInteger present = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private long sequence;
    private volatile boolean beating = true;
    private volatile boolean ended;
    private volatile boolean unframed;

    Runner(
            String id,
            String service,
            String zone,
            String ip,
            int slots,
            int workMillis,
            List<String> controls,
            Record record,
            Listener listener)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        this.controls = controls;
        this.record = record;
        this.listener = listener;
        this.server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        this.address = ip + ":" + server.getLocalPort();
        this.free = new Semaphore(slots, true);
    }

    /** Has answers carry no length and end with their connection, written in two parts. */
    void answerWithoutLength() {
        unframed = true;
    }

    /** Returns the whole body of the answer to a request. */
    static String bodyOf(String id, String requestId) {
        return "answer of " + id + " to " + requestId + " " + "=".repeat(2000) + " end";
    }

    /** Returns the whole stream of the answer to a request. */
    static String streamOf(String id, String requestId) {
        StringBuilder all = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
            all.append(event(id, requestId, event));
        }
        return all.toString();
    }

    private static String event(String id, String requestId, int number) {
        return "id: " + number + "\ndata: " + id + " " + requestId + " piece " + number + "\n\n";
    }

    void start() {
        Thread.startVirtualThread(this::accept);
        Thread.startVirtualThread(this::beat);
    }

    /** Takes the runner out without having told that it drains, and returns when that was acked. */
    double deregister() throws InterruptedException {
        beating = false;
        for (int i = 0; ; i++) {
            String at = controls.get(i % controls.size());
            try {
                Http.Message answer =
                        Http.call(at, "POST", "/-/instances/" + id + "/deregister", Map.of(), new byte[0], 1000);
                if (answer != null && answer.status() / 100 == 2) {
                    record.say("runner " + id + " has deregistered at " + at + ", acknowledged");
                    return record.now();
                }
            } catch (IOException e) {
                record.line("runner " + id + " cannot deregister at " + at + ": " + e);
            }
            Thread.sleep(50);
        }
    }

    /** Ends the process: whatever runs is cut. */
    void end() throws IOException {
        ended = true;
        beating = false;
        server.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        record.line("runner " + id + " has ended");
    }

    private void beat() {
        for (int i = 0; beating; ) {
            sequence++;
            String body =
                    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":%d}"
                            .formatted(service, address, zone, slots, sequence);
            boolean acknowledged = false;
            for (int tries = 0; tries < controls.size() && !acknowledged && beating; tries++) {
                try {
                    Http.Message answer =
                            Http.call(
                                    controls.get(i % controls.size()),
                                    "POST",
                                    "/-/instances/" + id + "/heartbeat",
                                    Map.of("Content-Type", "application/json"),
                                    body.getBytes(StandardCharsets.UTF_8),
                                    1000);
                    acknowledged = answer != null && answer.status() / 100 == 2;
                } catch (IOException e) {
                    acknowledged = false;
                }
                i += acknowledged ? 0 : 1;
            }
            try {
                Thread.sleep(1200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = server.accept();
                open.add(socket);
                Thread.startVirtualThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in, false);
                    request != null;
                    request = Http.read(in, false)) {
                answer(request, out);
                if (unframed && request.header("X-Request-Id") != null) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone, or this runner has ended.
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Http.Message request, OutputStream out)
            throws IOException, InterruptedException {
        Map<String, String> headers = new LinkedHashMap<>();
        String path = request.first().split(" ")[1];
        String requestId = request.header("X-Request-Id");
        String expected = request.header("X-Expect-Instance");
        headers.put("X-Instance-Id", id);
        if (requestId != null) {
            headers.put("X-Request-Id", requestId);
        }
        if (path.equals("/health")) {
            Http.send(out, "HTTP/1.1 200 OK", null, headers, new byte[0]);
            return;
        }
        if (requestId == null) {
            headers.put("X-Not-Run", "1");
            Http.send(out, "HTTP/1.1 400 Bad Request", null, headers, new byte[0]);
            return;
        }
        if (expected != null && !expected.equals(id)) {
            Http.send(out, "HTTP/1.1 421 Misdirected Request", null, headers, new byte[0]);
            return;
        }
        listener.arrived(this, requestId);
        if (present.incrementAndGet() > slots + 24) {
            present.decrementAndGet();
            headers.put("X-Not-Run", "1");
            Http.send(out, "HTTP/1.1 503 Service Unavailable", null, headers, new byte[0]);
            return;
        }
        free.acquire();
        try {
            record.line("runner " + id + " runs " + requestId);
            Thread.sleep(workMillis);
        } finally {
            free.release();
            present.decrementAndGet();
        }
        headers.put("X-Server-Stamp", id + "." + requestId);
        if (unframed) {
            if (path.startsWith("/stream/")) {
                answerInEvents(headers, requestId, out);
            } else {
                answerInTwoParts(headers, requestId, out);
            }
            return;
        }
        byte[] body = ("answer of " + id + " to " + requestId).getBytes(StandardCharsets.UTF_8);
        Http.send(out, "HTTP/1.1 200 OK", null, headers, body);
    }

    private void answerInTwoParts(Map<String, String> headers, String requestId, OutputStream out)
            throws IOException, InterruptedException {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nConnection: close\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        String body = bodyOf(id, requestId);
        int half = body.length() / 2;
        out.write((head + "\r\n" + body.substring(0, half)).getBytes(StandardCharsets.UTF_8));
        out.flush();
        Thread.sleep(60);
        out.write(body.substring(half).getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void answerInEvents(Map<String, String> headers, String requestId, OutputStream out)
            throws IOException, InterruptedException {
        StringBuilder head =
                new StringBuilder(
                        "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                + "Content-Type: text/event-stream\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        out.write((head + "\r\n").getBytes(StandardCharsets.UTF_8));
        for (int event = 1; event <= EVENTS; event++) {
            out.write(event(id, requestId, event).getBytes(StandardCharsets.UTF_8));
            out.flush();
            Thread.sleep(event < EVENTS ? 20 : 0);
        }
    }
}
