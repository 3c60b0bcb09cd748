package io.stackhall.tests.harness;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * An upstream that serves for a while and then, for as long, turns each host away for a rest, or
 * says that it leaves, until its next life. Requests name the host that they were sent to at the
 * end of their path.
 */
final class AskingUpstream implements AutoCloseable {

    static final String SERVICE = "asking";

    /** How long it serves, and how long it then asks. */
    private static final long TURN_NANOS = Duration.ofSeconds(4).toNanos();

    private static final Duration REST = Duration.ofSeconds(2);

    /** What was written when a host was told arrives within this time. */
    private static final long UNDER_WAY_NANOS = Duration.ofMillis(500).toNanos();

    /** Requests of one host in a rest that are forgiven. */
    private static final int FORGIVEN = 2;

    private final ConcurrentLinkedQueue<Came> came = new ConcurrentLinkedQueue<>();
    private final Heartbeats heartbeats = new Heartbeats(SERVICE);
    private final Kind kind;
    private final long begun = System.nanoTime();
    private final RepeatingServer server;
    private long lastLife;

    /** What it asks of hosts. */
    enum Kind {
        /** Nothing more for a while, with each request that it turns away. */
        REST,
        /** Nothing more at all, in its answers; its heartbeats go on saying that it is ready. */
        LEAVING
    }

    /** Whether something was done to a host between two moments, so that it owes nothing. */
    @FunctionalInterface
    interface Excuse {
        /** Returns whether it was; the moments are of the monotonic clock in nanoseconds. */
        boolean holds(String host, long from, long to);
    }

    /** A request, and whether its answer asked for something. */
    private record Came(String host, long at, long life, boolean told) {}

    AskingUpstream(Kind kind, long seed, RunLog runs) throws IOException {
        this.kind = kind;
        server = new RepeatingServer(seed, runs, this::answer);
    }

    /** Returns its name, which outlives its lives. */
    String name() {
        return "i-" + kind;
    }

    /** Returns what it says of itself. */
    synchronized String heartbeat() {
        long life = life(System.nanoTime());
        if (life != lastLife) {
            heartbeats.restart();
            lastLife = life;
        }
        int port = server.port();
        return kind == Kind.REST ? heartbeats.next(port) : heartbeats.next(port, born(life));
    }

    /**
     * Returns what was sent although it had been asked not to, empty where nothing was.
     *
     * @param excuse what excuses a host
     */
    List<String> broken(Excuse excuse) {
        List<Came> all = List.copyOf(came);
        List<String> broken = new ArrayList<>();
        for (Came told : all) {
            List<Came> late =
                    all.stream()
                            .filter(one -> told.told() && isLate(one, told))
                            .filter(one -> !excuse.holds(one.host(), told.at(), one.at()))
                            .toList();
            if (late.size() > (kind == Kind.REST ? FORGIVEN : 0)) {
                broken.add(name() + " got " + late.size() + " from " + told.host() + " too late");
            }
        }
        return broken;
    }

    private boolean isLate(Came one, Came told) {
        long after = one.at() - told.at();
        boolean lasts = kind == Kind.LEAVING ? one.life() == told.life() : after < REST.toNanos();
        return one.host().equals(told.host()) && after > UNDER_WAY_NANOS && lasts;
    }

    /** Returns how many requests it got. */
    int arrivals() {
        return came.size();
    }

    @Override
    public void close() {
        server.close();
    }

    private long life(long now) {
        return (now - begun) / (2 * TURN_NANOS);
    }

    private static long born(long life) {
        return 1_700_000_000_000L + life * Duration.ofNanos(2 * TURN_NANOS).toMillis();
    }

    private boolean asks(long now) {
        return (now - begun) / TURN_NANOS % 2 == 1;
    }

    private RepeatingServer.Answer answer(RepeatingServer.Request request) {
        long now = System.nanoTime();
        boolean asks = asks(now) && !request.spoiled();
        String path = request.path();
        came.add(new Came(path.substring(path.lastIndexOf('/') + 1), now, life(now), asks));
        if (!asks) {
            return new RepeatingServer.Plain(200);
        }
        return kind == Kind.REST
                ? new RepeatingServer.Plain(503, RunLog.NOT_RUN, "Retry-After: " + REST.toSeconds())
                : new RepeatingServer.Plain(200, "Server-Leaving: 1");
    }
}
