package io.stackhall.server.training;

import java.time.Duration;

/**
 * Decides how long a warm-up goes on, and how fast, from the processor time that the whole process
 * has used for it: that includes the compiler's threads. It is paced below the host's share of a
 * core, so that the host can read its configuration meanwhile.
 */
final class WarmUpBudget {

    private static final Duration MAX_PROCESSOR_TIME = Duration.ofMillis(1500);

    /**
     * The time for which the host's whole share would be used. The smaller the share, the longer
     * the start itself takes, which leaves less for the warm-up before traffic arrives.
     */
    private static final Duration MAX_SHARE_TIME = Duration.ofSeconds(12);

    /**
     * Part of the host's share that the warm-up uses while it runs. The host has little else to do
     * then, and what it has runs at the same time on a thread of its own.
     */
    private static final double PACE = 0.95;

    /** Processor time that may be used before the pace applies. */
    private static final Duration BURST = Duration.ofMillis(10);

    private static final Duration MAX_DURATION = Duration.ofSeconds(30);

    /**
     * Rounds of requests after which the path of each of them has long been compiled. They bound a
     * warm-up where no clock tells the processor time that it takes.
     */
    private static final int MAX_ROUNDS = 1000;

    private final double pace;
    private final long limitNanos;
    private final long processorTimeBefore;
    private final long startedAt;
    private int rounds;

    /** What the warm-up does next. */
    sealed interface Step {

        /** Sends the next requests. */
        record Proceed() implements Step {}

        /** Pauses, so that the process stays below its share. */
        record Pause(Duration time) implements Step {}

        /** Ends: the bound is reached. */
        record End() implements Step {}
    }

    /**
     * Begins a budget.
     *
     * @param processorShare the share of a core that the process may use
     * @param processorTime the processor time that the process has used so far
     * @param now the time on the monotonic clock in nanoseconds
     */
    WarmUpBudget(double processorShare, Duration processorTime, long now) {
        this.pace = processorShare * PACE;
        this.limitNanos = limit(processorShare).toNanos();
        this.processorTimeBefore = processorTime.toNanos();
        this.startedAt = now;
    }

    /** Returns the bound on the processor time of the process during the warm-up. */
    static Duration limit(double processorShare) {
        Duration byShare = Duration.ofNanos(Math.round(MAX_SHARE_TIME.toNanos() * processorShare));
        return byShare.compareTo(MAX_PROCESSOR_TIME) < 0 ? byShare : MAX_PROCESSOR_TIME;
    }

    /** Returns the next step, by the processor time that the process has used so far. */
    Step next(Duration processorTime, long now) {
        long used = used(processorTime).toNanos();
        long elapsed = now - startedAt;
        if (used >= limitNanos || elapsed >= MAX_DURATION.toNanos() || rounds >= MAX_ROUNDS) {
            return new Step.End();
        }
        long excess = used - BURST.toNanos() - Math.round(elapsed * pace);
        if (excess > 0) {
            return new Step.Pause(Duration.ofNanos(Math.round(excess / pace)));
        }
        rounds++;
        return new Step.Proceed();
    }

    /** Returns the processor time that the process has used since the warm-up began. */
    Duration used(Duration processorTime) {
        return processorTime.minusNanos(processorTimeBefore);
    }
}
