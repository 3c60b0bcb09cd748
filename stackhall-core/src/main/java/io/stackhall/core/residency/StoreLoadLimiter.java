package io.stackhall.core.residency;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Bounds the loads from the weight store that begin within any window. */
final class StoreLoadLimiter {

    private final long windowNanos;
    private final Deque<Long> begun = new ArrayDeque<>();
    private int allowed;

    StoreLoadLimiter(Duration window) {
        this.windowNanos = window.toNanos();
    }

    /** Sets how many loads a second the store allows. */
    void setRate(double loadsPerSecond) {
        allowed = (int) Math.floor(loadsPerSecond * windowNanos / Duration.ofSeconds(1).toNanos());
    }

    /** Takes all that may begin in one window as begun: a predecessor may have begun it. */
    void exhaust(long now) {
        begun.clear();
        for (int i = 0; i < allowed; i++) {
            begun.addLast(now);
        }
    }

    int availableLoads(long now) {
        while (!begun.isEmpty() && now - begun.peekFirst() > windowNanos) {
            begun.removeFirst();
        }
        return Math.max(0, allowed - begun.size());
    }

    void recordLoad(long now) {
        begun.addLast(now);
    }
}
