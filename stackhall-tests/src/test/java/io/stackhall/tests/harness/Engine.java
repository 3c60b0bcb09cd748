package io.stackhall.tests.harness;

import com.fasterxml.jackson.databind.JsonNode;
import io.stackhall.server.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in upstream in a process of its own, behind a proxy. */
public final class Engine implements AutoCloseable {

    /** An option of the harness: requests and orders do not pass the proxy. */
    private static final String DIRECT = "--direct";

    private static final Pattern LAST_BEGUN = Pattern.compile("lastBegunAfterLeaveMs=(\\d+)");

    private final Path folder;
    private final String id;
    private final String zone;
    private final List<Integer> announceTo;
    private final List<String> options;
    private final int port = Ports.freeBlock();
    private final FaultProxy proxy = new FaultProxy(port);
    private RunningProcess process;

    Engine(Path folder, String id, String zone, List<Integer> announceTo, List<String> options) {
        this.folder = folder;
        this.id = id;
        this.zone = zone;
        this.announceTo = announceTo;
        this.options = options;
        start();
    }

    /** Starts it, again or for the first time. */
    public void start() {
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "stand-in",
                                "--id",
                                id,
                                "--zone",
                                zone,
                                "--address",
                                "127.0.0.1:" + port,
                                "--announce-to"));
        announceTo.forEach(to -> arguments.add("127.0.0.1:" + to));
        if (!options.contains(DIRECT)) {
            arguments.addAll(List.of("--advertise", "127.0.0.1:" + proxy.port()));
        }
        options.stream().filter(option -> !option.equals(DIRECT)).forEach(arguments::add);
        process =
                RunningProcess.start(folder.resolve(id + ".log"), arguments.toArray(String[]::new));
    }

    /** Returns its process. */
    public RunningProcess process() {
        return process;
    }

    /** Returns the proxy through which requests and orders come. */
    public FaultProxy proxy() {
        return proxy;
    }

    /** Returns its base address, past the proxy. */
    public String directUrl() {
        return "http://127.0.0.1:" + port;
    }

    /** Returns what it says of itself, past the proxy. */
    public JsonNode state() {
        Reply reply = HttpCalls.get(directUrl() + "/test/state");
        try {
            return Json.mapper().readTree(reply.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns how much it has run, or nothing where it does not answer any more. */
    public OptionalInt runs() {
        try {
            return OptionalInt.of(state().path("runs").asInt());
        } catch (UncheckedIOException e) {
            return OptionalInt.empty();
        }
    }

    /** Waits until it has stopped, and returns when after its notice it began to run something. */
    public Duration lastBegunAfterLeave() {
        process.awaitExit();
        Matcher matcher = LAST_BEGUN.matcher(process.log());
        if (!matcher.find()) {
            throw new AssertionError("it did not say what it has run: " + process.log());
        }
        return Duration.ofMillis(Long.parseLong(matcher.group(1)));
    }

    /** Returns how often it has run what each user asked for. */
    public Map<String, Integer> runsByUser() {
        Map<String, Integer> runs = new HashMap<>();
        state().path("runsByUser")
                .properties()
                .forEach(entry -> runs.put(entry.getKey(), entry.getValue().asInt()));
        return runs;
    }

    /** Returns whether a model or adapter is resident. */
    public boolean holds(String model) {
        for (JsonNode name : state().path("memory").path("resident")) {
            if (name.asText().startsWith(model + "@")) {
                return true;
            }
        }
        return false;
    }

    /** Returns how often its memory was overcommitted. */
    public int overcommits() {
        return state().path("memory").path("overcommits").asInt();
    }

    @Override
    public void close() {
        if (process.alive()) {
            process.thaw();
            process.kill();
        }
        proxy.close();
    }
}
