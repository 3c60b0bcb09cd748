package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Reconsiders waiting requests at intervals while there are any: the passage of time alone may let
 * a request be sent or refused. Confined to one event loop.
 */
final class RecheckTimer {

    /** A thirtieth of the shortest latency objectives in use. */
    private static final long INTERVAL_MILLIS = 25;

    private final EventLoop loop;
    private final BooleanSupplier anyWaiting;
    private final Runnable recheck;
    private boolean scheduled;

    RecheckTimer(EventLoop loop, BooleanSupplier anyWaiting, Runnable recheck) {
        this.loop = loop;
        this.anyWaiting = anyWaiting;
        this.recheck = recheck;
    }

    /** Schedules the next check if any request waits. */
    void schedule() {
        if (!scheduled && anyWaiting.getAsBoolean()) {
            scheduled = true;
            loop.schedule(this::run, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void run() {
        scheduled = false;
        try {
            recheck.run();
        } finally {
            schedule();
        }
    }
}
