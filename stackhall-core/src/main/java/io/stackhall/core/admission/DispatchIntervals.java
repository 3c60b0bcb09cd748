package io.stackhall.core.admission;

import io.stackhall.core.config.Priority;
import io.stackhall.core.routing.Target;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * How long it takes, lately, until the next request of a line that has a backlog is dispatched.
 * That covers whatever slows the line: busy upstreams, more urgent requests, other entry hosts.
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
     * Notes a dispatch.
     *
     * @param left how many requests of the line wait on
     */
    void dispatched(Target target, Priority priority, int left, long now) {
        Interval of =
                intervals.computeIfAbsent(new QueueKey(target, priority), key -> new Interval());
        if (of.backlogged) {
            double latest = now - of.lastDispatch;
            of.meanNanos =
                    of.meanNanos == 0
                            ? latest
                            : of.meanNanos + SMOOTHING_FACTOR * (latest - of.meanNanos);
        }
        of.lastDispatch = now;
        of.backlogged = left > 0;
    }

    /** Returns the wait behind so many requests, if the line has had a backlog. */
    Optional<Long> expectedWait(Target target, Priority priority, int ahead) {
        Interval of = intervals.get(new QueueKey(target, priority));
        return of == null || of.meanNanos == 0
                ? Optional.empty()
                : Optional.of((long) (ahead * of.meanNanos));
    }
}
