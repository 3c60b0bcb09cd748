package io.stackhall.tests.harness;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** An upstream that names in each answer how many requests a second it takes from all hosts. */
final class LimitedUpstream implements AutoCloseable {

    static final String NAME = "i-limited";
    static final String SERVICE = "limited";

    private static final int PER_SECOND = 2;
    private static final Duration WINDOW = Duration.ofSeconds(4);

    /** What it forgives in a window: half as much again, and a few. */
    private static final int MOST_IN_WINDOW = PER_SECOND * 4 * 3 / 2 + 5;

    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private final Heartbeats heartbeats = new Heartbeats(SERVICE);
    private final RepeatingServer server;

    LimitedUpstream(long seed, RunLog runs) throws IOException {
        server = new RepeatingServer(seed, runs, this::answer);
    }

    /** Returns what it says of itself. */
    String heartbeat() {
        return heartbeats.next(server.port());
    }

    /** Returns what was sent beyond its limit, empty where nothing was. */
    List<String> broken() {
        List<Long> all = List.copyOf(arrivals).stream().sorted().toList();
        List<String> broken = new ArrayList<>();
        for (int last = MOST_IN_WINDOW; last < all.size(); last++) {
            long together = all.get(last) - all.get(last - MOST_IN_WINDOW);
            if (together < WINDOW.toNanos()) {
                broken.add(
                        "an upstream that takes %d a second got %d in %d ms"
                                .formatted(
                                        PER_SECOND,
                                        MOST_IN_WINDOW + 1,
                                        Duration.ofNanos(together).toMillis()));
            }
        }
        return broken;
    }

    /** Returns how many requests it got. */
    int arrivals() {
        return arrivals.size();
    }

    @Override
    public void close() {
        server.close();
    }

    private RepeatingServer.Answer answer(RepeatingServer.Request request) {
        arrivals.add(System.nanoTime());
        return new RepeatingServer.Plain(200, "Server-Limit: " + PER_SECOND);
    }
}
