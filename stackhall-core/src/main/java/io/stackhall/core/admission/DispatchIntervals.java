package io.stackhall.core.admission;

import io.stackhall.core.config.Priority;
import io.stackhall.core.routing.Target;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Moving mean of the interval between dispatches from each queue while it has a backlog. It covers
 * everything that delays a queue: busy upstreams, requests of higher priority, other entry hosts.
 */
final class DispatchIntervals {

    private static final double SMOOTHING_FACTOR = 0.1;

    private final Map<QueueKey, Interval> intervals = new HashMap<>();

    private record QueueKey(Target target, Priority priority) {}

    private static final class Interval {
        private double meanNanos;
        private long lastDispatch;
        private boolean backlogged;
    }

    /**
     * Records a dispatch.
     *
     * @param left how many requests remain in the queue
     * @param now the monotonic clock, in nanoseconds
     */
    void dispatched(Target target, Priority priority, int left, long now) {
        Interval interval =
                intervals.computeIfAbsent(new QueueKey(target, priority), key -> new Interval());
        if (interval.backlogged) {
            double latest = now - interval.lastDispatch;
            interval.meanNanos =
                    interval.meanNanos == 0
                            ? latest
                            : interval.meanNanos + SMOOTHING_FACTOR * (latest - interval.meanNanos);
        }
        interval.lastDispatch = now;
        interval.backlogged = left > 0;
    }

    /**
     * Returns the expected wait behind a number of requests in nanoseconds; empty before the queue
     * has had a backlog.
     */
    Optional<Long> expectedWait(Target target, Priority priority, int ahead) {
        Interval interval = intervals.get(new QueueKey(target, priority));
        return interval == null || interval.meanNanos == 0
                ? Optional.empty()
                : Optional.of((long) (ahead * interval.meanNanos));
    }
}
