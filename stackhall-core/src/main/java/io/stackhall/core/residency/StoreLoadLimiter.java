package io.stackhall.core.residency;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the loads from the weight store that start within a sliding window. */
final class StoreLoadLimiter {

    private final long windowNanos;
    private final Deque<Long> loadTimes = new ArrayDeque<>();
    private int maxLoads;

    StoreLoadLimiter(Duration window) {
        this.windowNanos = window.toNanos();
    }

    /** Sets the number of loads per second that the store allows. */
    void setRate(double loadsPerSecond) {
        maxLoads = (int) Math.floor(loadsPerSecond * windowNanos / Duration.ofSeconds(1).toNanos());
    }

    /**
     * Uses up the limit of the current window, because a predecessor may have started that many
     * loads.
     */
    void exhaust(long now) {
        loadTimes.clear();
        for (int i = 0; i < maxLoads; i++) {
            loadTimes.addLast(now);
        }
    }

    int availableLoads(long now) {
        while (!loadTimes.isEmpty() && now - loadTimes.peekFirst() > windowNanos) {
            loadTimes.removeFirst();
        }
        return Math.max(0, maxLoads - loadTimes.size());
    }

    void recordLoad(long now) {
        loadTimes.addLast(now);
    }
}
