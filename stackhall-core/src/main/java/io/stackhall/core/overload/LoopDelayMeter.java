package io.stackhall.core.overload;

import java.time.Duration;

/**
 * Measures how late an event loop runs what is due, by the lateness of a periodic task.
 *
 * <p>Times named {@code now} are on the monotonic clock, in nanoseconds.
 *
 * <p>Not thread-safe: used by one thread.
 */
public final class LoopDelayMeter {

    /** Time from one tick to the next while the event loop is delayed. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    /**
     * Time from one tick to the next while it is not: each tick wakes a host that may have nothing
     * else to do, and an overload is still noticed within three of them.
     */
    private static final Duration CALM_TICK_INTERVAL = Duration.ofMillis(60);

    /** Timers of an idle event loop are late by up to this much. */
    private static final long NOISE_NANOS = Duration.ofMillis(5).toNanos();

    /**
     * Number of ticks in the estimate. The longest delay of them is left out: a suspension or a
     * long garbage collection delays one tick, whatever its length, and an overload delays all.
     */
    private static final int WINDOW = 3;

    /** Without a tick for this long, the estimate says nothing about the present. */
    private static final long ESTIMATE_VALIDITY_NANOS = Duration.ofSeconds(2).toNanos();

    /** Without a tick for this long, the periodic task is assumed to have failed. */
    private static final long MAX_DELAY_NANOS = Duration.ofSeconds(30).toNanos();

    private final long[] delays = new long[WINDOW];
    private int next;
    private boolean ticked;
    private long tickedAt;
    private Duration interval = TICK_INTERVAL;
    private long lastDelay;

    /** Records that the periodic task runs; it is due an {@link #interval} after its last run. */
    public void tick(long now) {
        lastDelay = ticked ? pendingDelay(now) : 0;
        delays[next] = lastDelay;
        next = (next + 1) % WINDOW;
        ticked = true;
        tickedAt = now;
        interval = isCalm() ? CALM_TICK_INTERVAL : TICK_INTERVAL;
    }

    private boolean isCalm() {
        for (long delay : delays) {
            if (delay > 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns the time after the latest tick at which the next one is due. */
    public Duration interval() {
        return interval;
    }

    /** Returns the delay of the latest tick. */
    public Duration lastDelay() {
        return Duration.ofNanos(lastDelay);
    }

    /**
     * Returns the delay that a step of this host is expected to have: the mean of the latest ticks
     * without the longest of them; zero if there are no ticks.
     */
    public Duration expectedDelay(long now) {
        if (!ticked || now - tickedAt > ESTIMATE_VALIDITY_NANOS) {
            return Duration.ZERO;
        }
        long sum = 0;
        long longest = 0;
        for (long delay : delays) {
            sum += delay;
            longest = Math.max(longest, delay);
        }
        return Duration.ofNanos((sum - longest) / (WINDOW - 1));
    }

    /**
     * Returns for how long this host may have failed to notice what it notices now.
     *
     * @param moment the earliest time at which it can have happened
     */
    public long unnoticedNanos(long moment, long now) {
        if (!ticked || now - tickedAt > MAX_DELAY_NANOS) {
            return 0;
        }
        // Events that arrived during the last delay may be read just after the tick.
        long last = tickedAt - moment > 0 ? lastDelay : 0;
        return Math.clamp(now - moment, 0, Math.max(last, pendingDelay(now)));
    }

    private long pendingDelay(long now) {
        long delay = now - tickedAt - interval.toNanos();
        return delay < NOISE_NANOS ? 0 : delay;
    }
}
