package io.stackhall.core.dispatch;

import java.time.Duration;

/**
 * Limits the prompts of one host at an engine that have brought no event yet, by additive increase
 * and multiplicative decrease (AIMD) on the time to the first event.
 *
 * <p>An engine processes prompts one after another, so that prompts beyond what it processes soon
 * only wait there and can no longer be sent elsewhere. Without the limit, the requests of six hosts
 * that had waited for one load were sent within 10 ms; 62 of them had no event when their callers
 * left 3.2 s later (from the log of one day of load).
 *
 * <p>The thresholds for fast and slow follow from the shortest latency objective of the routes that
 * lead to the engine. Many hosts with one prompt each may still exceed what an engine can process
 * in time, so a window below one makes a host pause between two prompts.
 */
final class PromptWindow {

    private static final double INITIAL = 3;

    /**
     * At this window, eight hosts together send an overloaded engine one prompt in the time that
     * one prompt takes.
     */
    private static final double MIN = 0.125;

    private static final double MAX = 16;
    private static final double DECREASE = 0.7;

    /** Up to this share of the latency objective, a first event leaves room for more prompts. */
    private static final double QUICK_SHARE = 0.375;

    /** From this share of the latency objective on, the next prompt will be late. */
    private static final double SLOW_SHARE = 0.875;

    /** The mean time to the first event weights each new answer by one over this number. */
    private static final double MEMORY = 8;

    /** Prompts that can only be answered late fill at most this share of the window. */
    private static final double LATE_SHARE = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private double limit = INITIAL;
    private double meanNanos = Duration.ofMillis(150).toNanos();

    /**
     * Adjusts the window to the time that a request has waited for its first event.
     *
     * @param nanos the time, less what a slowdown of the engine has added to it
     * @param objective the shortest latency objective of the routes that lead to the engine
     */
    void recordFirstEvent(long nanos, Duration objective) {
        meanNanos += (nanos - meanNanos) / MEMORY;
        if (nanos <= QUICK_SHARE * objective.toNanos()) {
            limit = Math.min(MAX, limit + Math.min(limit, 1 / limit));
        } else if (isSlow(nanos, objective)) {
            limit = Math.max(MIN, limit * DECREASE);
        }
    }

    /**
     * Returns whether a first event took so long that the next one will miss its latency objective.
     */
    static boolean isSlow(long nanos, Duration objective) {
        return nanos >= SLOW_SHARE * objective.toNanos();
    }

    /**
     * Returns whether one more prompt may be sent.
     *
     * @param unanswered the number of prompts that have brought no event yet
     * @param late whether its answer can no longer meet the latency objective
     * @param slowdown how many times as long as usual work takes at the engine
     * @param sinceLastNanos the time since the last prompt was sent
     */
    boolean admits(int unanswered, boolean late, double slowdown, long sinceLastNanos) {
        double window = (late ? limit * LATE_SHARE : limit) / slowdown;
        if (window >= 1) {
            return unanswered < Math.floor(window);
        }
        return unanswered == 0 && sinceLastNanos >= meanNanos / window;
    }

    /**
     * Returns the number of prompts per second that bring a first event while the window is full.
     */
    double promptsPerSecond() {
        return limit * NANOS_PER_SECOND / meanNanos;
    }
}
