package io.stackhall.core.quarantine;

import java.time.Duration;

/**
 * Notes that this host stood still for a while, frozen or suspended: what it then sees of instances
 * is old, and one that ended meanwhile may have ended as planned.
 *
 * <p>Moments are those of a clock that goes on while the machine is suspended, in nanoseconds.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class HostPauseDetector {

    /** How often it is to be told that the host runs. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** Ten ticks missed in a row: no collection of garbage takes as long in so small a heap. */
    private static final long MIN_PAUSE_NANOS = TICK_INTERVAL.multipliedBy(10).toNanos();

    private long lastTickAt;
    private long pauseEndedAt;

    /** Creates the notes of a host that runs now. */
    public HostPauseDetector(long now) {
        lastTickAt = now;
        pauseEndedAt = now;
    }

    /** Notes that the host runs. */
    public void tick(long now) {
        if (now - lastTickAt > MIN_PAUSE_NANOS) {
            pauseEndedAt = now;
        }
        lastTickAt = now;
    }

    /** Returns whether the host has stood still since a moment. */
    public boolean pausedSince(long moment, long now) {
        tick(now);
        return pauseEndedAt - moment > 0;
    }
}
