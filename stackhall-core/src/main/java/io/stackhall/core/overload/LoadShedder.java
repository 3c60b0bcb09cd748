package io.stackhall.core.overload;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Decides which arriving requests an overloaded host refuses, so that those it admits are in time.
 *
 * <p>The share of refused requests follows the delay of the host's own event loop. Nothing is
 * refused while the shortest latency objective is reachable. Beyond that, the least urgent class is
 * refused first, and each class entirely before the next more urgent one is. Where both tolerate
 * the same delay, that is at {@value #MIN_RANGE_RATIO} times this delay.
 *
 * <p>Times named {@code now} are on the monotonic clock, in nanoseconds. Not thread-safe: used by
 * one thread.
 */
public final class LoadShedder {

    /** Steps of a request that wait for the event loop: accept, read, connect and answer. */
    private static final int STEPS = 4;

    /** Share of the shortest latency objective that the host's own steps may take. */
    private static final double OBJECTIVE_SHARE = 0.5;

    /** A class is refused entirely at no less than this multiple of the delay where that begins. */
    private static final double MIN_RANGE_RATIO = 2;

    /** Time constant by which a rising delay is smoothed: refusals affect it only ticks later. */
    private static final double RISE_NANOS = Duration.ofMillis(200).toNanos();

    /** Time constant for a falling delay, longer so that the backlog is worked off first. */
    private static final double FALL_NANOS = Duration.ofMillis(600).toNanos();

    /** Time without an overload after which load shedding counts as ended. */
    private static final long QUIET_NANOS = Duration.ofSeconds(1).toNanos();

    /** Without an update for this long, the delay is unknown and nothing is refused. */
    private static final long VALIDITY_NANOS = Duration.ofSeconds(2).toNanos();

    /** The retry delay is at most the remaining time of a request divided by this. */
    private static final int REMAINING_TIME_DIVISOR = 3;

    /**
     * Part of the longest retry delay over which retries are spread. It is small because each retry
     * during an overload costs processor time that the admitted requests lack.
     */
    private static final double RETRY_SPREAD = 0.25;

    /** The delay from which on requests are refused while there are no routes. */
    private static final Duration NEVER = Duration.ofDays(1);

    private final RandomGenerator random;
    private final NavigableMap<RequestClass, Range> ranges = new TreeMap<>();
    private double smoothedNanos;
    private long updatedAt;
    private boolean shedding;
    private long lastOverloadedAt;
    private long refused;

    /** The delays in nanoseconds from which on some, and all, requests of a class are refused. */
    private record Range(double from, double to) {
        double share(double delay) {
            return Math.clamp((delay - from) / (to - from), 0, 1);
        }
    }

    /** What an update changes. */
    public enum Change {
        NONE,
        STARTED,
        ENDED
    }

    /** Creates a controller that refuses nothing until it knows the classes of requests. */
    public LoadShedder(RandomGenerator random) {
        this.random = random;
    }

    /** Sets the classes of the routes in force. */
    public void setClasses(Collection<RequestClass> classes) {
        ranges.clear();
        NavigableMap<RequestClass, Double> tolerated = new TreeMap<>();
        double strictest = Double.POSITIVE_INFINITY;
        for (RequestClass one : new TreeSet<>(classes)) {
            strictest = Math.min(strictest, one.objective().toNanos() * OBJECTIVE_SHARE / STEPS);
            tolerated.put(one, strictest);
        }
        double from = 0;
        for (Map.Entry<RequestClass, Double> one : tolerated.descendingMap().entrySet()) {
            from = Math.max(from, one.getValue());
            Map.Entry<RequestClass, Double> moreUrgent = tolerated.lowerEntry(one.getKey());
            double to =
                    Math.max(
                            from * MIN_RANGE_RATIO, moreUrgent == null ? 0 : moreUrgent.getValue());
            ranges.put(one.getKey(), new Range(from, to));
            from = to;
        }
    }

    /**
     * Adjusts the shares of refused requests.
     *
     * @param delay the expected delay of one step of this host
     */
    public Change update(Duration delay, long now) {
        double elapsed = Math.max(0, now - updatedAt);
        updatedAt = now;
        double time = delay.toNanos() > smoothedNanos ? RISE_NANOS : FALL_NANOS;
        smoothedNanos += (delay.toNanos() - smoothedNanos) * -Math.expm1(-elapsed / time);
        boolean refuses = smoothedNanos > refusedFrom().toNanos();
        if (refuses) {
            lastOverloadedAt = now;
        }
        if (refuses && !shedding) {
            shedding = true;
            refused = 0;
            return Change.STARTED;
        }
        if (shedding && now - lastOverloadedAt > QUIET_NANOS) {
            shedding = false;
            return Change.ENDED;
        }
        return Change.NONE;
    }

    /** Returns the delay above which the first requests are refused. */
    public Duration refusedFrom() {
        return ranges.isEmpty()
                ? NEVER
                : Duration.ofNanos(Math.round(ranges.lastEntry().getValue().from()));
    }

    /** Returns whether requests may be refused: load shedding has started, and goes on. */
    public boolean isShedding(long now) {
        return shedding && now - updatedAt <= VALIDITY_NANOS;
    }

    /** Returns the share of the requests of a class that is refused now. */
    public double refusedShare(RequestClass requests) {
        Map.Entry<RequestClass, Range> range = ranges.floorEntry(requests);
        return range == null ? 0 : range.getValue().share(smoothedNanos);
    }

    /**
     * Decides on a request that has arrived.
     *
     * @param remaining the time until its deadline
     * @return the retry delay if it is refused, or empty if it is admitted
     */
    public Optional<Duration> refuse(RequestClass requests, Duration remaining, long now) {
        if (!isShedding(now)
                || !remaining.isPositive()
                || random.nextDouble() >= refusedShare(requests)) {
            return Optional.empty();
        }
        refused++;
        return Optional.of(retryDelay(remaining));
    }

    /** Returns a random retry delay, so that requests refused together do not return together. */
    private Duration retryDelay(Duration remaining) {
        long longest = remaining.toNanos() / REMAINING_TIME_DIVISOR;
        long earlier = Math.round(random.nextDouble() * longest * RETRY_SPREAD);
        return Duration.ofNanos(longest - earlier);
    }

    /** Returns how many requests have been refused since load shedding started. */
    public long refused() {
        return refused;
    }

    /** Returns the smoothed delay on which the shares depend. */
    public Duration delay() {
        return Duration.ofNanos(Math.round(smoothedNanos));
    }
}
