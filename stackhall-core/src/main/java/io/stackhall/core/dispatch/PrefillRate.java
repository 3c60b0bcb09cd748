package io.stackhall.core.dispatch;

import java.time.Duration;

/**
 * How fast the engines of one service read prompts, learned from the answers of engines that had
 * little else to read, and so how much may wait at one for the next prompt to be read in time.
 */
final class PrefillRate {

    /** One in this many samples counts in the mean. */
    private static final double MEMORY = 16;

    /** So few answers may be odd ones. */
    private static final int MIN_SAMPLES = 4;

    /**
     * The rest of the objective is for what others have sent that was not told yet, and for
     * waiting.
     */
    private static final double OBJECTIVE_SHARE = 0.5;

    /** What can only be late leaves room for what can be in time. */
    private static final double LATE_SHARE = 0.5;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private double nanosPerToken;
    private int samples;

    /** Takes in how long an engine with little else to read took to the first event. */
    void addSample(long tokens, long nanos) {
        if (tokens <= 0) {
            return;
        }
        samples++;
        double memory = Math.min(samples, MEMORY);
        nanosPerToken += ((double) nanos / tokens - nanosPerToken) / memory;
    }

    /** Returns how many tokens an engine reads in a while, as many as you like if not known. */
    double tokensIn(long nanos) {
        return samples < MIN_SAMPLES ? Double.POSITIVE_INFINITY : nanos / nanosPerToken;
    }

    /**
     * Returns how many such prompts an engine reads in a second, as many as you like if unknown.
     */
    double promptsPerSecond(long tokens) {
        return tokensIn(NANOS_PER_SECOND) / Math.max(1, tokens);
    }

    /**
     * Returns whether a prompt is read in time behind those that wait at an engine.
     *
     * @param waitingTokens tokens that are to be read before it
     * @param objective the shortest of those who ask the engine
     * @param left what is left for it to be in time; nothing where it can only be late
     */
    boolean meetsObjective(
            double waitingTokens, long ownTokens, Duration objective, Duration left) {
        if (waitingTokens <= 0) {
            return true;
        }
        boolean late = !left.isPositive();
        double share = late ? OBJECTIVE_SHARE * LATE_SHARE : OBJECTIVE_SHARE;
        long nanos = Math.round(objective.toNanos() * share);
        long most = late ? nanos : Math.min(nanos, left.toNanos());
        return waitingTokens + ownTokens <= tokensIn(most);
    }
}
