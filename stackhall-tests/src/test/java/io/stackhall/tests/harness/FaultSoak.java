package io.stackhall.tests.harness;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Real processes under trouble from outside that a seed draws: kills, freezes, stops and hang-ups
 * of single hosts and of all, one upon the other, while an operator changes the configuration and
 * callers go on using their connections. What callers and the operator see is held against the
 * promises.
 *
 * <p>Each change adds a route that all later ones keep, so that an answer of 404 on it tells that
 * an older configuration is in force.
 */
public final class FaultSoak implements AutoCloseable {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    /** A host that was disturbed, or whose group was, is held to times only after this. */
    private static final Duration CONTACT = Duration.ofSeconds(4);

    /** One in so many requests that may not be repeated is refused, and so many others fail. */
    private static final int REFUSED_SHARE = 16;

    private static final int FAILED_SHARE = 4;

    private static final long CALL_PAUSE_MILLIS = 30;

    private final long seed;
    private final Random random;
    private final SeededHosts hosts;
    private final TroubledHosts trouble;
    private final ChangeHistory changes = new ChangeHistory();
    private final AtomicBoolean over = new AtomicBoolean();
    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final RunLog runs = new RunLog();
    private final SoakCalls calls;
    private final Random answers;
    private RepeatingServer plain;
    private LimitedUpstream limited;
    private final List<AskingUpstream> asking = new ArrayList<>();
    private BrokenStreams streams;
    private long version;

    /** Creates a run that has not begun. */
    public FaultSoak(Path folder, long seed) {
        this.seed = seed;
        this.random = new Random(seed);
        this.hosts = new SeededHosts(folder);
        this.trouble = new TroubledHosts(hosts, folder);
        this.calls = new SoakCalls(hosts, trouble, runs, changes, broken);
        this.answers = new Random(seed);
    }

    /**
     * Plays the trouble for a while, and lets all come back.
     *
     * @return which promises were broken, empty where none was
     */
    public List<String> run(Duration lasts) throws Exception {
        startAll(true);
        Eventually.holds("first change", this::change);
        plain = new RepeatingServer(seed, runs, this::answer);
        hosts.announcePlain(plain.port());
        for (int number = 1; number <= TroubledHosts.ENTRY_HOSTS; number++) {
            int host = number;
            Eventually.holds("served", () -> status(host, "/base/x") == OK);
        }
        limited = hosts.startLimited(seed, runs);
        for (AskingUpstream.Kind kind : AskingUpstream.Kind.values()) {
            asking.add(hosts.startAsking(kind, seed, runs));
        }
        streams = new BrokenStreams(hosts, seed, runs, changes);
        for (int number = 1; number <= TroubledHosts.ENTRY_HOSTS; number++) {
            int host = number;
            threads.submit(() -> callStreams(host));
            threads.submit(() -> callAgainAndAgain(host));
            threads.submit(() -> callLimited(host));
            threads.submit(() -> callAsking(host));
        }
        threads.submit(this::readAgainAndAgain);
        long end = System.nanoTime() + lasts.toNanos();
        while (System.nanoTime() - end < 0) {
            disturb();
            Eventually.pause(200 + random.nextInt(1200));
        }
        recover();
        over.set(true);
        calls.checkRuns();
        broken.addAll(limited.broken());
        asking.forEach(one -> broken.addAll(one.broken(trouble::wasDisturbed)));
        broken.addAll(streams.broken());
        return List.copyOf(broken);
    }

    /** Returns how many calls were made, and how many were served. */
    public String account() {
        return "%s changes=%d limited=%d asking=%s %s"
                .formatted(
                        calls.account(),
                        version,
                        limited.arrivals(),
                        asking.stream().map(AskingUpstream::arrivals).toList(),
                        streams.account());
    }

    @Override
    public void close() {
        over.set(true);
        trouble.end();
        threads.shutdownNow();
        hosts.close();
        if (plain != null) {
            plain.close();
        }
        if (limited != null) {
            limited.close();
        }
        asking.forEach(AskingUpstream::close);
        if (streams != null) {
            streams.close();
        }
    }

    private void disturb() {
        switch (random.nextInt(12)) {
            case 0, 1, 2, 3 -> threads.submit(this::change);
            case 4, 5 -> kill(anyControl(), random.nextInt(1500));
            case 6 -> kill(anyEntry(), random.nextInt(1500));
            case 7 -> freeze(random.nextBoolean() ? anyControl() : anyEntry());
            case 8 -> stop(anyEntry());
            case 9 -> trouble.signal(anyEntry(), "hang up", RunningProcess::hangUp);
            case 10 -> restartAll();
            default -> stop(anyControl());
        }
    }

    private void kill(String name, int downMillis) {
        trouble.leave(name, RunningProcess::kill);
        later(downMillis, () -> trouble.start(name, false));
    }

    private void stop(String name) {
        RunningProcess leaving = trouble.leave(name, RunningProcess::requestStop);
        later(
                0,
                () -> {
                    leaving.awaitExit();
                    trouble.start(name, false);
                });
    }

    private void freeze(String name) {
        RunningProcess frozen = trouble.signal(name, "freeze", RunningProcess::freeze);
        later(300 + random.nextInt(2500), () -> trouble.thaw(name, frozen));
    }

    private void restartAll() {
        TroubledHosts.names().forEach(name -> trouble.leave(name, RunningProcess::kill));
        later(random.nextInt(1000), () -> startAll(false));
    }

    private void recover() {
        Eventually.pause(3500);
        for (String name : TroubledHosts.names()) {
            trouble.signal(name, "thaw", RunningProcess::thaw);
            trouble.start(name, false);
        }
        Eventually.holds("change after all", this::change);
        long newest = changes.newest();
        for (int number = 1; number <= TroubledHosts.ENTRY_HOSTS; number++) {
            int host = number;
            Eventually.holds(
                    "newest on " + host, () -> status(host, SoakConfiguration.added(newest)) == OK);
        }
        Eventually.holds("newest read", () -> read(1) >= newest);
    }

    private void startAll(boolean firstStart) {
        TroubledHosts.names().forEach(name -> trouble.start(name, firstStart));
    }

    private boolean change() {
        long next;
        synchronized (this) {
            next = ++version;
        }
        try {
            if (hosts.put(
                            1 + (int) (next % TroubledHosts.CONTROL_HOSTS),
                            SoakConfiguration.of(next))
                    != OK) {
                return false;
            }
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
        changes.acknowledged(next);
        return true;
    }

    private void callAgainAndAgain(int host) {
        String name = "entry-" + host;
        long obeyed = 0;
        long life = 0;
        while (!over.get()) {
            long lifeNow = trouble.life(name);
            obeyed = lifeNow == life ? obeyed : 0;
            life = lifeNow;
            long asked = changes.newest();
            long sentAt = System.nanoTime();
            int base = calls.statusOrCut(host, "/base/x", name, sentAt);
            int newest = calls.statusOrCut(host, SoakConfiguration.added(asked), name, sentAt);
            calls.statusOrCut(host, SoakConfiguration.ONCE, name, sentAt);
            boolean sameLife = trouble.life(name) == life;
            if (base == NOT_FOUND) {
                broken.add(name + " knows no route that every configuration has");
            }
            if (newest == OK && sameLife) {
                obeyed = Math.max(obeyed, asked);
            }
            if (newest == NOT_FOUND && sameLife && asked <= obeyed) {
                broken.add(name + " went back from " + obeyed + ", within one life");
            }
            if (newest == NOT_FOUND && isHeldTo(name, asked, sentAt)) {
                broken.add(name + " obeys an older configuration than " + asked);
            }
            Eventually.pause(CALL_PAUSE_MILLIS);
        }
    }

    /** Asks for what only an upstream with a limit can serve, several times as often. */
    private void callLimited(int host) {
        while (!over.get()) {
            calls.statusOrCut(host, "/limited/x", "entry-" + host, System.nanoTime());
            Eventually.pause(CALL_PAUSE_MILLIS);
        }
    }

    /** Asks for what only upstreams serve that want rest, or leave, by turns. */
    private void callAsking(int host) {
        String name = "entry-" + host;
        while (!over.get()) {
            calls.statusOrCut(host, "/asking/" + name, name, System.nanoTime());
            Eventually.pause(CALL_PAUSE_MILLIS);
        }
    }

    private void callStreams(int host) {
        while (!over.get()) {
            streams.call(host, calls.newId());
            Eventually.pause(CALL_PAUSE_MILLIS);
        }
    }

    /** Returns whether a host had to obey a change when a request was sent. */
    private boolean isHeldTo(String name, long change, long sentAt) {
        boolean calm =
                trouble.quietFor(CONTACT, name, sentAt)
                        && TroubledHosts.controlNames().stream()
                                .allMatch(other -> trouble.quietFor(CONTACT, other, sentAt));
        return changes.hasToBeInForce(change, sentAt) && calm;
    }

    private void readAgainAndAgain() {
        while (!over.get()) {
            long before = changes.newest();
            long sentAt = System.nanoTime();
            long read = read(1 + random(TroubledHosts.CONTROL_HOSTS));
            boolean longAgo = changes.hasToBeInForce(before, sentAt);
            if (read >= 0 && read < before && longAgo) {
                broken.add("read " + read + " though " + before + " had been acknowledged");
            }
            Eventually.pause(CALL_PAUSE_MILLIS);
        }
    }

    /** Returns the version that a control host reads, or -1 where it is not certain. */
    private long read(int number) {
        try {
            String text = hosts.read(number);
            int at = text.indexOf("{\"version\":");
            return at == 0 ? Long.parseLong(text.substring(11, text.indexOf(','))) : -1;
        } catch (IOException e) {
            return -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    private int status(int host, String path) throws IOException, InterruptedException {
        return hosts.callRoute(host, path, calls.newId()).statusCode();
    }

    /** Answers of requests that may not be repeated differ, so that each is told by its status. */
    private synchronized RepeatingServer.Answer answer(RepeatingServer.Request request) {
        if (!request.path().equals(SoakConfiguration.ONCE)) {
            return new RepeatingServer.Plain(200);
        }
        if (answers.nextInt(REFUSED_SHARE) == 0) {
            return new RepeatingServer.Plain(503, RunLog.NOT_RUN);
        }
        return new RepeatingServer.Plain(answers.nextInt(FAILED_SHARE) == 0 ? 500 : 200);
    }

    private void later(int millis, Runnable task) {
        threads.submit(
                () -> {
                    Eventually.pause(millis);
                    try {
                        task.run();
                    } catch (RuntimeException | AssertionError e) {
                        broken.add("a step of the run itself failed: " + e);
                    }
                });
    }

    private synchronized int random(int bound) {
        return random.nextInt(bound);
    }

    private String anyControl() {
        return "control-" + (1 + random(TroubledHosts.CONTROL_HOSTS));
    }

    private String anyEntry() {
        return "entry-" + (1 + random(TroubledHosts.ENTRY_HOSTS));
    }
}
