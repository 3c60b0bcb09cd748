package io.stackhall.core.admission;

import io.stackhall.core.routing.Target;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Moving mean of the service time of requests for each target. */
final class ServiceTimes {

    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double SAFETY_FACTOR = 1.5;
    private static final long INITIAL_NANOS = Duration.ofMillis(200).toNanos();

    private final Map<Target, Double> means = new HashMap<>();

    void observe(Target target, long nanos) {
        means.merge(
                target,
                (double) nanos,
                (mean, latest) -> mean + SMOOTHING_FACTOR * (latest - mean));
    }

    /** Returns a time within which all but a few requests are served. */
    long conservativeNanos(Target target) {
        return (long) (SAFETY_FACTOR * expectedNanos(target));
    }

    long expectedNanos(Target target) {
        return means.getOrDefault(target, (double) INITIAL_NANOS).longValue();
    }
}
