package io.stackhall.tests.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * The processes of a soak: starts and signals them, remembers when each was disturbed and how long
 * it may be away, and writes down each step, so that what hosts and callers tell can be held
 * against it.
 */
final class TroubledHosts {

    static final int CONTROL_HOSTS = 3;
    static final int ENTRY_HOSTS = 3;

    /** A host refuses connections from its leaving until it is back, no longer than this after. */
    private static final Duration STARTS_WITHIN = Duration.ofSeconds(15);

    private final SeededHosts hosts;
    private final Path story;
    private final Map<String, RunningProcess> processes = new ConcurrentHashMap<>();
    private final Map<String, Long> disturbedAt = new ConcurrentHashMap<>();
    private final Map<String, List<Long>> disturbances = new ConcurrentHashMap<>();
    private final Map<String, Long> awayUntil = new ConcurrentHashMap<>();
    private final Map<String, Long> lives = new ConcurrentHashMap<>();
    private final AtomicBoolean over = new AtomicBoolean();

    TroubledHosts(SeededHosts hosts, Path folder) {
        this.hosts = hosts;
        this.story = folder.resolve("soak.log");
    }

    static List<String> names() {
        List<String> names = new ArrayList<>(controlNames());
        IntStream.rangeClosed(1, ENTRY_HOSTS).forEach(number -> names.add("entry-" + number));
        return names;
    }

    static List<String> controlNames() {
        return IntStream.rangeClosed(1, CONTROL_HOSTS)
                .mapToObj(number -> "control-" + number)
                .toList();
    }

    /** Starts a process, unless it runs. */
    synchronized void start(String name, boolean firstStart) {
        RunningProcess before = processes.get(name);
        if (over.get() || (before != null && before.alive())) {
            return;
        }
        tell("start " + name);
        touch(name);
        awayUntil.put(name, System.nanoTime() + STARTS_WITHIN.toNanos());
        lives.merge(name, 1L, Long::sum);
        int number = name.charAt(name.length() - 1) - '0';
        processes.put(
                name,
                name.startsWith("control")
                        ? hosts.startControl(number, firstStart)
                        : hosts.startEntry(number, true));
    }

    /** Makes a process leave, which refuses connections until it is back. */
    synchronized RunningProcess leave(String name, Consumer<RunningProcess> kind) {
        awayUntil.put(name, Long.MAX_VALUE);
        return signal(name, "leave", kind);
    }

    /** Signals a process, unless it has ended already by what came before. */
    synchronized RunningProcess signal(String name, String step, Consumer<RunningProcess> kind) {
        tell(step + " " + name);
        touch(name);
        RunningProcess process = processes.get(name);
        if (process.alive()) {
            kind.accept(process);
        }
        return process;
    }

    /** Lets a process go on that was frozen. */
    synchronized void thaw(String name, RunningProcess frozen) {
        tell("thaw " + name);
        touch(name);
        if (frozen.alive()) {
            frozen.thaw();
        }
    }

    /** Starts and signals nothing more. */
    void end() {
        over.set(true);
    }

    /** Returns in which life a host is, counted from 1. */
    long life(String name) {
        return lives.get(name);
    }

    /** Notes that a host has answered in a life: it takes connections from then on. */
    synchronized void answered(String name, long life) {
        if (life == life(name) && awayUntil.get(name) != Long.MAX_VALUE) {
            awayUntil.merge(name, System.nanoTime(), Math::min);
        }
    }

    /** Returns whether a host might refuse a connection that was tried at a moment. */
    boolean mayHaveRefused(String name, long triedAt) {
        return triedAt < awayUntil.get(name);
    }

    /** Returns whether nothing was done to a host for a time before a moment. */
    boolean quietFor(Duration time, String name, long at) {
        return at - disturbedAt.getOrDefault(name, 0L) > time.toNanos();
    }

    /** Returns whether something was done to a host between two moments. */
    boolean wasDisturbed(String name, long from, long to) {
        return disturbances.getOrDefault(name, List.of()).stream()
                .anyMatch(at -> at - from >= 0 && at - to <= 0);
    }

    private void touch(String name) {
        long now = System.nanoTime();
        disturbedAt.put(name, now);
        disturbances.computeIfAbsent(name, key -> new CopyOnWriteArrayList<>()).add(now);
    }

    private void tell(String step) {
        try {
            Files.writeString(
                    story,
                    Instant.now() + " " + step + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
