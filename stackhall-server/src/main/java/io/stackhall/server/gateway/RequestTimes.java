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
record RequestTimes(long arrivedAt, long deadlineAt, Route route) {

    /** A streamed answer that begins this close to the end of its caller's time comes too late. */
    private static final Duration LEAST_STREAM_TIME = Duration.ofMillis(350);

    /** A plain answer takes some ten milliseconds. */
    private static final Duration LEAST_PLAIN_TIME = Duration.ofMillis(40);

    /** An idle engine brings the first event within 35 to 50 ms of an objective of 400 (median). */
    private static final int LEAST_ANSWER_SHARE = 8;

    /** Returns the times of a request on a route: it ends with its caller's or the route's time. */
    static RequestTimes of(CallerRequest request, Route route) {
        long allowed = route.timeout().toNanos();
        OptionalLong told = request.deadlineMillis();
        if (told.isPresent()) {
            allowed = Math.min(allowed, TimeUnit.MILLISECONDS.toNanos(told.getAsLong()));
        }
        return new RequestTimes(request.arrivedAt(), request.arrivedAt() + allowed, route);
    }

    /** Returns what is left of the objective; nothing where an answer can only be late. */
    Duration left(long now) {
        return late(now)
                ? Duration.ZERO
                : Duration.ofNanos(arrivedAt + route.latencyObjective().toNanos() - now);
    }

    /**
     * Returns whether an answer can only be late: what is left of the objective is less than an
     * engine that has nothing else to do needs for its first event.
     */
    boolean late(long now) {
        return now - inTimeUntil() > 0;
    }

    private long inTimeUntil() {
        long objective = route.latencyObjective().toNanos();
        return arrivedAt + objective - objective / LEAST_ANSWER_SHARE;
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
        long latest = end - (stream ? LEAST_STREAM_TIME : LEAST_PLAIN_TIME).toNanos();
        return new Admission(latest, inTimeUntil());
    }
}
