package io.stackhall.core.overload;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * Decides which new connections of callers an overloaded host closes unread.
 *
 * <p>Load pattern: for some seconds a load balancer hands most new connections of a zone, or of all
 * zones, to one host. What that host reads it can only refuse or answer late, while others are
 * nearly idle. A caller whose connection is closed unread connects again at once, and most likely
 * to another host.
 *
 * <p>Nothing is closed while the other hosts have as much to do: their callers would only come back
 * here, and each try costs what the admitted requests lack. Then {@link LoadShedder} refuses by
 * urgency. Where this host alone is overloaded, closing begins earlier than refusing, so that
 * little of what it reads has to be refused.
 *
 * <p>What is admitted is a rate, not a part: once fewer connections come than that, none is closed.
 *
 * <p>Times named {@code now} are on the monotonic clock, in nanoseconds. Not thread-safe: used by
 * one thread.
 */
public final class ConnectionShedder {

    /**
     * Part of the delay at which requests are first refused, above which connections are closed.
     */
    private static final double TARGET = 0.5;

    /** Smallest number of connections per second, by which the host notices its recovery. */
    private static final double MIN_RATE = 10;

    /** Smallest factor by which one tick above the target lowers the rate. */
    private static final double STEEPEST_DECREASE = 0.3;

    /** Largest factor by which one tick above the target lowers the rate. */
    private static final double FLATTEST_DECREASE = 0.9;

    /** Time in which the rate grows by a factor of e below the target. */
    private static final double GROWTH_NANOS = Duration.ofMillis(500).toNanos();

    /** Time constant of the measured rate of admitted connections. */
    private static final double RATE_NANOS = Duration.ofMillis(200).toNanos();

    /** Time whose connections may be admitted at once. */
    private static final double BURST_SECONDS = 0.1;

    /** Time without a closed connection after which all are admitted again. */
    private static final long QUIET_NANOS = Duration.ofSeconds(1).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private boolean active;
    private double rate;
    private double tokens;
    private double admittedRate;
    private int admitted;
    private int closed;
    private int ownPeak;
    private long updatedAt;
    private long lastClosedAt;

    /**
     * Adjusts the rate at which connections are admitted; called after each tick of the meter.
     *
     * @param delay the expected delay of one step of this host
     * @param refusedFrom the delay above which this host refuses requests
     * @param work supplies what this host and the others have to do
     */
    public void update(Duration delay, Duration refusedFrom, Supplier<WorkShare> work, long now) {
        double elapsed = Math.max(1, now - updatedAt);
        measure(elapsed, now);
        double lateness = delay.toNanos() / (refusedFrom.toNanos() * TARGET);
        if (!active && lateness <= 1) {
            return;
        }
        if (isOver(work.get(), now)) {
            active = false;
            ownPeak = 0;
            return;
        }
        if (lateness > 1) {
            lower(lateness, now);
        } else {
            rate *= Math.exp(elapsed / GROWTH_NANOS);
        }
        tokens = Math.min(tokens + rate * elapsed / NANOS_PER_SECOND, rate * BURST_SECONDS);
    }

    /** Closing lowers the work of this host, so that its peak is compared with the others. */
    private boolean isOver(WorkShare work, long now) {
        ownPeak = Math.max(ownPeak, work.own());
        boolean quiet = active && now - lastClosedAt > QUIET_NANOS;
        return quiet || !work.withOwn(ownPeak).isDisproportionate();
    }

    private void lower(double lateness, long now) {
        double most = active ? Math.min(rate, admittedRate) : admittedRate;
        double factor = Math.clamp(1 / lateness, STEEPEST_DECREASE, FLATTEST_DECREASE);
        rate = Math.max(MIN_RATE, most * factor);
        if (!active) {
            active = true;
            lastClosedAt = now;
        }
    }

    private void measure(double elapsed, long now) {
        if (closed > 0) {
            lastClosedAt = now;
        }
        double measured = admitted * NANOS_PER_SECOND / elapsed;
        admittedRate += (measured - admittedRate) * -Math.expm1(-elapsed / RATE_NANOS);
        updatedAt = now;
        admitted = 0;
        closed = 0;
    }

    /** Returns whether new connections may be closed now. */
    public boolean isActive() {
        return active;
    }

    /** Decides on a new connection, and returns whether it is to be closed. */
    public boolean closesNext() {
        if (active && tokens < 1) {
            closed++;
            return true;
        }
        tokens = Math.max(0, tokens - 1);
        admitted++;
        return false;
    }
}
