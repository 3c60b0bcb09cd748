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
 *
 * <p>What is quick or slow follows from the shortest objective of those who ask the engine. Many
 * hosts with one prompt each may still be more than an engine can read in time, so that a window
 * below one makes a host pause between two prompts.
 */
final class PromptWindow {

    private static final double INITIAL = 3;

    /** Eight hosts send an overloaded engine one prompt in the time that one prompt takes. */
    private static final double MIN = 0.125;

    private static final double MAX = 16;
    private static final double DECREASE = 0.7;

    /** Up to this share of the objective for the first event leaves room for more prompts. */
    private static final double QUICK_SHARE = 0.375;

    /** From this share on the next prompt will be late. */
    private static final double SLOW_SHARE = 0.875;

    /** One in this many answers counts in the mean time to the first event. */
    private static final double MEMORY = 8;

    /** What can only be late fills this share of the window at most. */
    private static final double LATE_SHARE = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private double limit = INITIAL;
    private double meanNanos = Duration.ofMillis(150).toNanos();

    /**
     * Takes in how long a request has waited for its first event.
     *
     * @param objective the shortest of those who ask the engine
     */
    void recordFirstEvent(long nanos, Duration objective) {
        meanNanos += (nanos - meanNanos) / MEMORY;
        if (nanos <= QUICK_SHARE * objective.toNanos()) {
            limit = Math.min(MAX, limit + Math.min(limit, 1 / limit));
        } else if (isSlow(nanos, objective)) {
            limit = Math.max(MIN, limit * DECREASE);
        }
    }

    /** Returns whether a first event took so long that the next one will be late. */
    static boolean isSlow(long nanos, Duration objective) {
        return nanos >= SLOW_SHARE * objective.toNanos();
    }

    /**
     * Returns whether one more prompt may be sent beside those without an event.
     *
     * @param late whether its answer can only be late
     * @param sinceLastNanos how long ago the last prompt was sent
     */
    boolean admits(int unanswered, boolean late, long sinceLastNanos) {
        double window = late ? limit * LATE_SHARE : limit;
        if (window >= 1) {
            return unanswered < Math.floor(window);
        }
        return unanswered == 0 && sinceLastNanos >= meanNanos / window;
    }

    /** Returns how many prompts a second bring a first event, if the window is always full. */
    double promptsPerSecond() {
        return limit * NANOS_PER_SECOND / meanNanos;
    }
}
