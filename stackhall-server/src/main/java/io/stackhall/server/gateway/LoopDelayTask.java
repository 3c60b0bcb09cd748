package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.overload.LoopDelayMeter;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.metrics.FleetMetrics;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Measures the delay of an event loop by a task that is scheduled again at the end of each run. */
final class LoopDelayTask {

    private static final Logger logger = LogManager.getLogger(LoopDelayTask.class);

    private static final double NANOS_PER_SECOND = 1e9;

    private final EventLoop loop;
    private final LoopDelayMeter meter;
    private final FleetMetrics metrics;
    private final LongConsumer onTick;

    /**
     * Creates a task that is not started yet.
     *
     * @param onTick called with the time after each tick of the meter
     */
    LoopDelayTask(EventLoop loop, LoopDelayMeter meter, FleetMetrics metrics, LongConsumer onTick) {
        this.loop = loop;
        this.meter = meter;
        this.metrics = metrics;
        this.onTick = onTick;
    }

    /** Starts to measure. */
    void start() {
        loop.execute(this::run);
    }

    private void run() {
        long now = BootClock.nanos();
        try {
            meter.tick(now);
            onTick.accept(now);
            Duration delay = meter.lastDelay();
            if (delay.isPositive()) {
                metrics.loopDelayed(delay.toNanos() / NANOS_PER_SECOND);
            }
        } catch (RuntimeException e) {
            logger.error("daemon.task-failed {}", e.toString(), e);
        } finally {
            // A fixed rate would make up for missed runs at once, and hide the delay.
            loop.schedule(this::run, meter.interval().toMillis(), TimeUnit.MILLISECONDS);
        }
    }
}
