package io.stackhall.core.overload;

import java.time.Duration;
import java.util.Comparator;

/**
 * Requests that are refused together by an overloaded host; the class that is refused last comes
 * first.
 *
 * <p>Of requests with the same rank, those with the longest latency objective are refused first:
 * they may still be in time when their callers retry.
 *
 * @param rank the urgency of their routes, 0 being the most urgent
 * @param objective the latency objective of their routes
 */
public record RequestClass(int rank, Duration objective) implements Comparable<RequestClass> {

    private static final Comparator<RequestClass> ORDER =
            Comparator.comparingInt(RequestClass::rank).thenComparing(RequestClass::objective);

    /** Checks the objective. */
    public RequestClass {
        if (!objective.isPositive()) {
            throw new IllegalArgumentException("objective is " + objective);
        }
    }

    @Override
    public int compareTo(RequestClass other) {
        return ORDER.compare(this, other);
    }
}
