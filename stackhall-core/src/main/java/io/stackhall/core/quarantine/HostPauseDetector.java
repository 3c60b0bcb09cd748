package io.stackhall.core.quarantine;

import java.time.Duration;

/**
 * Detects that this process did not run for a while, frozen or suspended. What it observes of
 * instances right afterwards is out of date: an instance that has gone may have shut down as
 * planned.
 *
 * <p>Moments are in nanoseconds, of a clock that keeps running while the machine is suspended.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class HostPauseDetector {

    /** How often {@link #tick} is to be called. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /**
     * Ten ticks missed in a row: garbage collection does not take that long in a heap of this size.
     */
    private static final long MIN_PAUSE_NANOS = TICK_INTERVAL.multipliedBy(10).toNanos();

    private long lastTickAt;
    private long pauseEndedAt;

    /** Creates a detector for a process that runs now. */
    public HostPauseDetector(long now) {
        lastTickAt = now;
        pauseEndedAt = now;
    }

    /** Records that the process runs. */
    public void tick(long now) {
        if (now - lastTickAt > MIN_PAUSE_NANOS) {
            pauseEndedAt = now;
        }
        lastTickAt = now;
    }

    /** Returns whether the process has been paused since a moment. */
    public boolean pausedSince(long moment, long now) {
        tick(now);
        return pauseEndedAt - moment > 0;
    }
}
