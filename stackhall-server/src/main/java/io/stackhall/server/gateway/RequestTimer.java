package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.stackhall.server.clock.BootClock;
import java.util.concurrent.TimeUnit;

/** Runs a task of one request at a given time. Confined to the event loop. */
final class RequestTimer {

    private final EventLoop loop;
    private final Runnable task;
    private ScheduledFuture<?> scheduled;

    RequestTimer(EventLoop loop, Runnable task) {
        this.loop = loop;
        this.task = task;
    }

    /** Schedules the task for a time in nanoseconds of {@link BootClock}. */
    void scheduleAt(long time) {
        long delay = Math.max(0, time - BootClock.nanos());
        scheduled = loop.schedule(task, delay, TimeUnit.NANOSECONDS);
    }

    /** Cancels the scheduled run, if any. */
    void cancel() {
        if (scheduled != null) {
            scheduled.cancel(false);
        }
    }
}
