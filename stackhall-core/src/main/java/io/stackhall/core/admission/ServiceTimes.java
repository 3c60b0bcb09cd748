package io.stackhall.core.admission;

import io.stackhall.core.routing.Target;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** A moving mean of how long a request for each target takes. */
final class ServiceTimes {

    private static final double WEIGHT = 0.1;
    private static final double CAUTION = 1.5;
    private static final long ASSUMED_NANOS = Duration.ofMillis(200).toNanos();

    private final Map<Target, Double> means = new HashMap<>();

    void observe(Target target, long nanos) {
        means.merge(target, (double) nanos, (mean, latest) -> mean + WEIGHT * (latest - mean));
    }

    /** Returns a time within which all but a few requests are served. */
    long cautiousNanos(Target target) {
        return (long) (CAUTION * expectedNanos(target));
    }

    long expectedNanos(Target target) {
        return means.getOrDefault(target, (double) ASSUMED_NANOS).longValue();
    }
}
