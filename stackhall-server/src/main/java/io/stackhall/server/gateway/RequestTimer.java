package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.stackhall.server.clock.BootClock;
import java.util.concurrent.TimeUnit;

/** Tells one request that its time has passed. Used on the event loop. */
final class RequestTimer {

    private final EventLoop loop;
    private final Runnable task;
    private ScheduledFuture<?> scheduled;

    RequestTimer(EventLoop loop, Runnable task) {
        this.loop = loop;
        this.task = task;
    }

    /** Runs the task at a moment of the monotonic clock in nanoseconds. */
    void scheduleAt(long moment) {
        long left = Math.max(0, moment - BootClock.nanos());
        scheduled = loop.schedule(task, left, TimeUnit.NANOSECONDS);
    }

    /** Does not run it. */
    void cancel() {
        if (scheduled != null) {
            scheduled.cancel(false);
        }
    }
}
