package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.Admission;
import io.stackhall.core.route.Route;
import io.stackhall.core.route.RouteKind;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Until when what is of use to one request's caller. All moments are of the monotonic clock, in
 * nanoseconds.
 *
 * @param arrivedAt when its head had arrived
 * @param deadlineAt until when an answer is of use
 * @param route what the operator allows it
 */
record RequestDeadlines(long arrivedAt, long deadlineAt, Route route) {

    /** A streamed answer that begins this close to the end of its caller's time comes too late. */
    private static final Duration MIN_STREAM_TIME = Duration.ofMillis(350);

    /** A plain answer takes some ten milliseconds. */
    private static final Duration MIN_PLAIN_TIME = Duration.ofMillis(40);

    /** An idle engine brings the first event within 35 to 50 ms of an objective of 400 (median). */
    private static final int MIN_ANSWER_TIME_DIVISOR = 8;

    /** Returns the times of a request on a route: it ends with its caller's or the route's time. */
    static RequestDeadlines of(CallerRequest request, Route route) {
        long allowed = route.timeout().toNanos();
        OptionalLong told = request.deadlineMillis();
        if (told.isPresent()) {
            allowed = Math.min(allowed, TimeUnit.MILLISECONDS.toNanos(told.getAsLong()));
        }
        return new RequestDeadlines(request.arrivedAt(), request.arrivedAt() + allowed, route);
    }

    /** Returns what is left of the objective; nothing where an answer can only be late. */
    Duration remainingObjective(long now) {
        return isLate(now)
                ? Duration.ZERO
                : Duration.ofNanos(arrivedAt + route.latencyObjective().toNanos() - now);
    }

    /**
     * Returns whether an answer can only be late: what is left of the objective is less than an
     * engine that has nothing else to do needs for its first event.
     */
    boolean isLate(long now) {
        return now - latestOnTimeStart() > 0;
    }

    private long latestOnTimeStart() {
        long objective = route.latencyObjective().toNanos();
        return arrivedAt + objective - objective / MIN_ANSWER_TIME_DIVISOR;
    }

    /**
     * Returns the admission of the request that has just come or begun to wait again. A caller
     * whose time is not over may leave before, for want of an event.
     *
     * @param lastEventAt when its caller got an event last, or when the request came
     */
    Admission admission(long lastEventAt) {
        boolean stream = route.kind() == RouteKind.STREAM;
        long leaves = lastEventAt + route.callerTimeout().toNanos();
        long end = stream && leaves - deadlineAt < 0 ? leaves : deadlineAt;
        long latest = end - (stream ? MIN_STREAM_TIME : MIN_PLAIN_TIME).toNanos();
        return new Admission(latest, latestOnTimeStart());
    }
}
