package io.stackhall.core.dispatch;

import java.time.Duration;

/**
 * Bounds how many prompts one host has at an engine that have brought no event yet, by additive
 * increase and multiplicative decrease on the time to the first event.
 *
 * <p>An engine reads prompts one after another, so that whatever is sent beyond what it reads soon
 * only waits there, out of reach of a better choice. Without the bound, the requests of six hosts
 * that had waited for one load were sent within 10 ms; 62 of them had no event when their callers
 * left 3.2 s later (one day of load, from the log).
 */
final class PromptWindow {

    private static final double FIRST = 3;
    private static final double LEAST = 1;
    private static final double MOST = 16;
    private static final double DECREASE = 0.7;

    /** Three prompts of 1,800 tokens at 19 tokens a millisecond. */
    private static final long QUICK_NANOS = Duration.ofMillis(300).toNanos();

    /** Eight of them: most of the time that interactive callers give. */
    private static final long SLOW_NANOS = Duration.ofMillis(700).toNanos();

    /** One in this many answers counts in the mean time to the first event. */
    private static final double MEMORY = 8;

    private static final double NANOS_PER_SECOND = 1e9;

    private double limit = FIRST;
    private double meanNanos = Duration.ofMillis(150).toNanos();

    /** Takes in how long a request has waited for its first event. */
    void answeredAfter(long nanos) {
        meanNanos += (nanos - meanNanos) / MEMORY;
        if (nanos <= QUICK_NANOS) {
            limit = Math.min(MOST, limit + 1 / limit);
        } else if (nanos >= SLOW_NANOS) {
            limit = Math.max(LEAST, limit * DECREASE);
        }
    }

    /** Returns whether one more prompt may be sent beside those without an event. */
    boolean admits(int unanswered) {
        return unanswered < Math.floor(limit);
    }

    /** Returns how many prompts a second bring a first event, if the window is always full. */
    double placesPerSecond() {
        return limit * NANOS_PER_SECOND / meanNanos;
    }
}
