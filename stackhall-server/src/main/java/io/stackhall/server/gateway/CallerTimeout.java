package io.stackhall.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import io.stackhall.core.route.CallerLimits;
import io.stackhall.server.clock.BootClock;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The timeout of one caller's connection. A limit that is raised while it runs extends it, as
 * connections may rest for longer from then on.
 */
final class CallerTimeout {

    private final EventExecutor executor;
    private final Supplier<CallerLimits> limits;
    private ScheduledFuture<?> scheduled;

    CallerTimeout(EventExecutor executor, Supplier<CallerLimits> limits) {
        this.executor = executor;
        this.limits = limits;
    }

    /** Starts the timeout anew. */
    void start(Function<CallerLimits, Duration> limit, Runnable then) {
        cancel();
        schedule(limit, then, BootClock.nanos(), limit.apply(limits.get()));
    }

    /** Ends the timeout, if it runs. */
    void cancel() {
        if (scheduled != null) {
            scheduled.cancel(false);
            scheduled = null;
        }
    }

    private void schedule(
            Function<CallerLimits, Duration> limit, Runnable then, long startedAt, Duration left) {
        scheduled =
                executor.schedule(
                        () -> check(limit, then, startedAt), left.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void check(Function<CallerLimits, Duration> limit, Runnable then, long startedAt) {
        Duration elapsed = Duration.ofNanos(BootClock.nanos() - startedAt);
        Duration left = limit.apply(limits.get()).minus(elapsed);
        if (left.isPositive()) {
            schedule(limit, then, startedAt, left);
        } else {
            then.run();
        }
    }
}
