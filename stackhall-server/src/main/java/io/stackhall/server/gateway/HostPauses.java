package io.stackhall.server.gateway;

import io.stackhall.server.clock.BootClock;
import java.util.concurrent.TimeUnit;

/**
 * Notices that this process stood still for a while: what it then sees of its upstreams is old.
 *
 * <p>Not thread-safe: one thread uses it.
 */
final class HostPauses {

    /** How often it is to be told that the process runs. */
    static final long TICK_MILLIS = 100;

    /** Ten ticks missed in a row: no collection of garbage takes as long in so small a heap. */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private long seenAt = BootClock.nanos();
    private long endedAt = seenAt;

    /** Notes that the process runs. */
    void tick() {
        long now = BootClock.nanos();
        if (now - seenAt > PAUSE_NANOS) {
            endedAt = now;
        }
        seenAt = now;
    }

    /** Returns whether the process has stood still since a moment of the monotonic clock. */
    boolean since(long moment) {
        tick();
        return endedAt - moment > 0;
    }
}
