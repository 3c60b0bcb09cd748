package io.stackhall.tests.harness;

import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Real processes that find each other by seeds, and one plain upstream that announces itself. */
public final class SeededHosts implements AutoCloseable {

    private static final Duration PATIENCE = Duration.ofSeconds(15);
    private static final String ROUTE_HOST = "a.example";
    private static final int HEARTBEAT_MILLIS = 300;

    private final Path folder;
    private final int peers = Ports.free();
    private final int api = Ports.free();
    private final int callers = Ports.free();
    private final int readiness = Ports.free();
    private final Map<String, RunningProcess> processes = new TreeMap<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Heartbeats plain = new Heartbeats("plain");
    private final ScheduledExecutorService heartbeats =
            Executors.newSingleThreadScheduledExecutor();
    private final List<CrashingUpstream> crashing = new CopyOnWriteArrayList<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private HttpServer upstream;

    /** Creates a system that does not run yet. */
    public SeededHosts(Path folder) {
        this.folder = folder;
    }

    /** Starts one control host, which lives at 127.0.5.number. */
    public RunningProcess startControl(int number, boolean firstStart) {
        String ip = "127.0.5." + number;
        String role =
                "\"control\": {\"api\": \"%s:%d\", \"dataFolder\": \"%s\"}"
                        .formatted(ip, api, folder.resolve("control-" + number));
        return start("control-" + number, ip, role, firstStart, false);
    }

    /** Starts one entry host, which lives at 127.0.6.number. */
    public RunningProcess startEntry(int number, boolean logIsRead) {
        String ip = "127.0.6." + number;
        return start("entry-" + number, ip, entryRole(ip), false, !logIsRead);
    }

    /** Starts the upstream, which answers every request with its path. */
    public void startUpstream() throws IOException {
        upstream =
                HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        upstream.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        upstream.createContext(
                "/",
                exchange -> {
                    String path = exchange.getRequestURI().getPath();
                    if (path.endsWith("/break")) {
                        exchange.close();
                        return;
                    }
                    byte[] body = path.getBytes(StandardCharsets.UTF_8);
                    String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
                    runs.computeIfAbsent(path + " " + id, key -> new AtomicInteger())
                            .incrementAndGet();
                    exchange.getResponseHeaders().set("X-Request-Id", id);
                    exchange.sendResponseHeaders(200, body.length);
                    exchange.getResponseBody().write(body);
                    exchange.close();
                });
        upstream.start();
        heartbeats.scheduleAtFixedRate(this::heartbeat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns how often the upstream has run a request, by its path and id. */
    public int runs(String path, String id) {
        AtomicInteger count = runs.get(path + " " + id);
        return count == null ? 0 : count.get();
    }

    /** Announces an upstream of the plain service that a test has started itself. */
    void announcePlain(int port) {
        heartbeats.scheduleAtFixedRate(
                () -> heartbeat("i-1", plain.next(port)),
                0,
                HEARTBEAT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Starts an upstream that names a limit. */
    LimitedUpstream startLimited(long seed, RunLog log) throws IOException {
        LimitedUpstream started = new LimitedUpstream(seed, log);
        heartbeats.scheduleAtFixedRate(
                () -> heartbeat(LimitedUpstream.NAME, started.heartbeat()),
                0,
                HEARTBEAT_MILLIS,
                TimeUnit.MILLISECONDS);
        return started;
    }

    /** Starts an upstream that asks hosts for rest, or that leaves and comes back, by turns. */
    AskingUpstream startAsking(AskingUpstream.Kind kind, long seed, RunLog log) throws IOException {
        AskingUpstream started = new AskingUpstream(kind, seed, log);
        heartbeats.scheduleAtFixedRate(
                () -> heartbeat(started.name(), started.heartbeat()),
                0,
                HEARTBEAT_MILLIS,
                TimeUnit.MILLISECONDS);
        return started;
    }

    /** Starts an upstream that breaks off a share of its streams. */
    BreakingUpstream startBreaking(String name, String software, long seed, RunLog log)
            throws IOException {
        BreakingUpstream started = new BreakingUpstream(name, software, seed, log);
        heartbeats.scheduleAtFixedRate(
                () -> heartbeat(started.name(), started.heartbeat()),
                0,
                HEARTBEAT_MILLIS,
                TimeUnit.MILLISECONDS);
        return started;
    }

    /** Starts an upstream whose streams last for some time. */
    public StreamingUpstream startStreaming(String name, String software) throws IOException {
        StreamingUpstream started = new StreamingUpstream(software);
        heartbeats.scheduleAtFixedRate(
                () -> started.heartbeat().ifPresent(body -> heartbeat(name, body)),
                0,
                HEARTBEAT_MILLIS,
                TimeUnit.MILLISECONDS);
        return started;
    }

    /** Starts an upstream that ends under one request, and comes back. */
    public void startCrashing(String name) {
        CrashingUpstream started = new CrashingUpstream(name);
        crashing.add(started);
        heartbeats.scheduleAtFixedRate(
                () -> {
                    if (started.alive()) {
                        heartbeat(started.name(), started.heartbeat());
                    }
                },
                0,
                HEARTBEAT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns when lives of crashing upstreams have ended, in order, on the monotonic clock in
     * nanoseconds.
     */
    public List<Long> upstreamEnds() {
        return crashing.stream().flatMap(one -> one.ends().stream()).sorted().toList();
    }

    /** Sends a configuration to a control host and returns the answer's status. */
    public int put(int number, String configuration) throws IOException, InterruptedException {
        return post("http://127.0.5." + number + ":" + api + "/-/config/put", configuration);
    }

    /** Returns the address of a control host's calls. */
    public String controlCalls(int number) {
        return "127.0.5." + number + ":" + api;
    }

    /** Reads the configuration from a control host. */
    public String read(int number) throws IOException, InterruptedException {
        String uri = "http://127.0.5." + number + ":" + api + "/-/config/get";
        HttpRequest request = HttpRequest.newBuilder(URI.create(uri)).timeout(PATIENCE).build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }

    /** Sends a request through an entry host. */
    public HttpResponse<String> call(int number, String path, String id)
            throws IOException, InterruptedException {
        return send(request(number, path, id));
    }

    /** Sends a request through an entry host, on a route of the host a.example. */
    public HttpResponse<String> callRoute(int number, String path, String id)
            throws IOException, InterruptedException {
        return send(request(number, path, id).header("Host", ROUTE_HOST));
    }

    /**
     * Sends a request for a stream through an entry host, and passes its lines on as they come.
     *
     * @param headers further or other headers, names and values by turns
     * @return the status
     * @throws IOException if the answer breaks off
     */
    public int stream(int number, String path, String id, Consumer<String> lines, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = request(number, path, id).header("Host", ROUTE_HOST);
        for (int name = 0; name < headers.length; name += 2) {
            request.setHeader(headers[name], headers[name + 1]);
        }
        HttpResponse<InputStream> answer =
                client.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
        try (BufferedReader body =
                new BufferedReader(
                        new InputStreamReader(answer.body(), StandardCharsets.ISO_8859_1))) {
            for (String line = body.readLine(); line != null; line = body.readLine()) {
                lines.accept(line);
            }
        }
        return answer.statusCode();
    }

    /** Sends a request with a customer's key through an entry host. */
    public HttpResponse<String> callWithKey(int number, String path, String id, String key)
            throws IOException, InterruptedException {
        return send(
                request(number, path, id)
                        .header("Host", ROUTE_HOST)
                        .header("Authorization", "Token " + key));
    }

    /** Sends a request with a body through an entry host, to the host that its route names. */
    public HttpResponse<String> post(int number, String path, String id, String body)
            throws IOException, InterruptedException {
        return send(routed(number, path, id).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** Sends a request with a body that names the parts of its prompt. */
    public HttpResponse<String> postPrompt(
            int number, String path, String id, String parts, String body)
            throws IOException, InterruptedException {
        return send(
                routed(number, path, id)
                        .header("X-Prompt-Prefix", parts)
                        .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    private HttpRequest.Builder routed(int number, String path, String id) {
        return request(number, path, id).header("Host", ROUTE_HOST);
    }

    private HttpRequest.Builder request(int number, String path, String id) {
        String uri = "http://127.0.6." + number + ":" + callers + path;
        return HttpRequest.newBuilder(URI.create(uri))
                .timeout(PATIENCE)
                .header("X-Request-Id", id)
                .header("X-Deadline-Ms", "3000");
    }

    private HttpResponse<String> send(HttpRequest.Builder request)
            throws IOException, InterruptedException {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Returns whether an entry host says that it is ready. */
    public boolean ready(int number) throws IOException, InterruptedException {
        String uri = "http://127.0.6." + number + ":" + readiness + "/-/readiness";
        HttpRequest request = HttpRequest.newBuilder(URI.create(uri)).timeout(PATIENCE).build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    }

    /** Returns what a process has logged. */
    public List<String> log(String name) throws IOException {
        return Files.readAllLines(folder.resolve(name + ".log"));
    }

    @Override
    public void close() {
        heartbeats.shutdownNow();
        List<RunningProcess> running = new ArrayList<>(processes.values());
        running.stream().filter(RunningProcess::alive).forEach(RunningProcess::kill);
        crashing.forEach(CrashingUpstream::close);
        if (upstream != null) {
            upstream.stop(0);
        }
    }

    /** Returns the settings of an entry host, which lives at 127.0.6.number. */
    public String entrySettings(int number) {
        String ip = "127.0.6." + number;
        return settings("entry-" + number, ip, entryRole(ip), false);
    }

    private String entryRole(String ip) {
        return "\"entry\": {\"callers\": \"%s:%d\", \"readiness\": \"%s:%d\"}"
                .formatted(ip, callers, ip, readiness);
    }

    private String settings(String name, String ip, String role, boolean firstStart) {
        return """
                {"host": "%s", "zone": "z", "peers": "%s:%d", %s,
                 "discovery": {"seeds": ["127.0.5.1:%d", "127.0.5.2:%d", "127.0.5.3:%d"],
                               "firstStart": %d},
                 "limits": {"heartbeatMillis": %d, "stopGraceMillis": 6000}}
                """
                .formatted(
                        name, ip, peers, role, api, api, api, firstStart ? 1 : 0, HEARTBEAT_MILLIS);
    }

    private RunningProcess start(
            String name, String ip, String role, boolean firstStart, boolean unread) {
        String settings = settings(name, ip, role, firstStart);
        Path file = folder.resolve(name + ".json");
        try {
            Files.writeString(file, settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Path log = folder.resolve(name + ".log");
        RunningProcess process =
                unread
                        ? RunningProcess.startUnread(log, "serve", file.toString())
                        : RunningProcess.startSeeded(log, "serve", file.toString());
        processes.put(name, process);
        return process;
    }

    private void heartbeat() {
        heartbeat("i-1", plain.next(upstream.getAddress().getPort()));
    }

    private void heartbeat(String name, String body) {
        for (int number = 1; number <= 3; number++) {
            try {
                post(
                        "http://127.0.5."
                                + number
                                + ":"
                                + api
                                + "/-/instances/"
                                + name
                                + "/heartbeat",
                        body);
                return;
            } catch (IOException e) {
                // The next host, then.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private int post(String uri, String body) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(uri))
                        .timeout(PATIENCE)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }
}
