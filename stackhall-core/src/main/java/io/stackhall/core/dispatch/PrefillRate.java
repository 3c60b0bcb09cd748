package io.stackhall.core.dispatch;

import java.time.Duration;

/**
 * The rate at which one engine, or the engines of one service, process prompts (prefill), learned
 * from times to the first event: of idle engines, or of all work that was ahead where an engine
 * reports its slowdown. It determines how much may queue at an engine for the next prompt to be
 * processed in time.
 */
final class PrefillRate {

    /** The mean weights each new sample by one over this number. */
    private static final int MEMORY = 16;

    /** Below this number of samples, outliers could dominate the mean. */
    private static final int MIN_SAMPLES = 4;

    /**
     * Prompts that can only be answered late get this share of it, which leaves room for those that
     * can be in time.
     */
    private static final double LATE_SHARE = 0.5;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private double nanosPerToken;
    private int samples;

    /** Records how long an engine took to a first event, and the work ahead of it in tokens. */
    void addSample(long tokens, long nanos) {
        if (tokens <= 0) {
            return;
        }
        samples = Math.min(samples + 1, MEMORY);
        nanosPerToken += ((double) nanos / tokens - nanosPerToken) / samples;
    }

    /** Returns whether enough answers were seen for an estimate. */
    boolean isKnown() {
        return samples >= MIN_SAMPLES;
    }

    /** Returns the rate of an engine whose work takes this many times as long as usual. */
    PrefillRate slowedBy(double slowdown) {
        PrefillRate slowed = new PrefillRate();
        slowed.nanosPerToken = nanosPerToken * slowdown;
        slowed.samples = samples;
        return slowed;
    }

    /** Returns how long an engine takes to process this many tokens; 0 if the rate is unknown. */
    double nanosFor(double tokens) {
        return isKnown() ? tokens * nanosPerToken : 0;
    }

    /**
     * Returns how many tokens an engine processes in the given time; infinite if the rate is
     * unknown.
     */
    double tokensIn(long nanos) {
        return isKnown() ? nanos / nanosPerToken : Double.POSITIVE_INFINITY;
    }

    /**
     * Returns how many prompts of the given length an engine processes per second; infinite if the
     * rate is unknown.
     */
    double promptsPerSecond(long tokens) {
        return tokensIn(NANOS_PER_SECOND) / Math.max(1, tokens);
    }

    /**
     * Returns whether a prompt is processed in time behind those that already wait at an engine.
     *
     * @param waitingTokens the tokens that are processed before it
     * @param ownTokens the tokens of the prompt itself
     * @param objective the part of the shortest latency objective of the routes that lead to the
     *     engine which is available for prompt processing
     * @param remaining what remains of its own latency objective; not positive if it can only be
     *     answered late
     */
    boolean meetsObjective(
            double waitingTokens, long ownTokens, Duration objective, Duration remaining) {
        if (waitingTokens <= 0) {
            return true;
        }
        boolean late = !remaining.isPositive();
        long nanos = Math.round(objective.toNanos() * (late ? LATE_SHARE : 1));
        long limit = late ? nanos : Math.min(nanos, remaining.toNanos());
        return waitingTokens + ownTokens <= tokensIn(limit);
    }
}
