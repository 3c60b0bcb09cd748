package io.stackhall.core.dispatch;

import java.time.Duration;

/**
 * Decides when a host may reconsider all of its waiting requests again, so that doing so takes at
 * most a fixed part of its event loop.
 *
 * <p>Load pattern: a host is past its share, or many models are being loaded, so that many requests
 * wait. Each request that ends, each first event and each notice of what an engine holds is an
 * occasion to reconsider them all, and each time takes as long as there are waiting requests and
 * instances. Without a bound, the waiting requests take the time of those that are served, which
 * makes more of them wait.
 *
 * <p>Times named {@code now} are on the monotonic clock, in nanoseconds. Not thread-safe: used by
 * one thread.
 */
public final class RecheckPace {

    /** The pause after a recheck, in durations of it: rechecks take a fifth of the time at most. */
    private static final int PAUSE_FACTOR = 4;

    /** A suspension in the middle of a recheck does not keep requests waiting for longer. */
    private static final long MAX_PAUSE_NANOS = Duration.ofMillis(250).toNanos();

    private boolean rechecked;
    private long allowedAt;

    /** Returns how long the next recheck has to wait, in nanoseconds; 0 if it may be now. */
    public long delayNanos(long now) {
        return rechecked ? Math.max(0, allowedAt - now) : 0;
    }

    /** Records a recheck that has just ended. */
    public void recordRecheck(long startedAt, long now) {
        rechecked = true;
        allowedAt = now + Math.min(PAUSE_FACTOR * (now - startedAt), MAX_PAUSE_NANOS);
    }
}
