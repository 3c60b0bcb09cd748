package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.dispatch.RecheckPace;
import io.stackhall.server.clock.BootClock;
import java.util.concurrent.TimeUnit;

/**
 * Reconsiders waiting requests when there is an occasion, as its {@link RecheckPace} allows, and at
 * intervals while there are any: the passage of time alone may let a request be sent or refused.
 * Confined to one event loop.
 */
final class RecheckTimer {

    /** A thirtieth of the shortest latency objectives in use. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    private final EventLoop loop;
    private final WaitingRequests waiting;
    private final Runnable recheck;
    private final Runnable afterInterval;
    private final RecheckPace pace = new RecheckPace();
    private boolean scheduled;

    /**
     * Creates a timer that is not running.
     *
     * @param recheck reconsiders all waiting requests
     * @param afterInterval run after the rechecks at intervals
     */
    RecheckTimer(
            EventLoop loop, WaitingRequests waiting, Runnable recheck, Runnable afterInterval) {
        this.loop = loop;
        this.waiting = waiting;
        this.recheck = recheck;
        this.afterInterval = afterInterval;
    }

    /**
     * Rechecks now if the pace allows; otherwise the next recheck at an interval makes up for it.
     */
    void trigger() {
        if (pace.delayNanos(BootClock.nanos()) == 0) {
            recheck();
        }
    }

    private void recheck() {
        long startedAt = BootClock.nanos();
        recheck.run();
        pace.recordRecheck(startedAt, BootClock.nanos());
    }

    /** Schedules the next check if any request waits. */
    void schedule() {
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            long delay = Math.max(INTERVAL_NANOS, pace.delayNanos(BootClock.nanos()));
            loop.schedule(this::run, delay, TimeUnit.NANOSECONDS);
        }
    }

    private void run() {
        scheduled = false;
        try {
            recheck();
            afterInterval.run();
        } finally {
            schedule();
        }
    }
}
