package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.Admission;
import io.stackhall.core.route.Route;
import io.stackhall.core.route.RouteKind;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The deadlines of one request. All times are in nanoseconds of {@code BootClock}.
 *
 * @param arrivedAt when its head had been received
 * @param deadlineAt when the caller's or the route's timeout ends
 * @param route its route, which holds the configured timeouts and objective
 */
record RequestDeadlines(long arrivedAt, long deadlineAt, Route route) {

    /** A streamed answer that begins less than this before the caller's deadline is too late. */
    private static final Duration MIN_STREAM_TIME = Duration.ofMillis(350);

    /** A plain answer takes some ten milliseconds. */
    private static final Duration MIN_PLAIN_TIME = Duration.ofMillis(40);

    /**
     * Share of the latency objective, as its divisor, that an idle engine needs for the first
     * event: a median of 35 to 50 ms at an objective of 400 ms.
     */
    private static final int MIN_ANSWER_TIME_DIVISOR = 8;

    /** Returns the deadlines of a request: the earlier of its caller's and the route's timeout. */
    static RequestDeadlines of(CallerRequest request, Route route) {
        long allowed = route.timeout().toNanos();
        OptionalLong requested = request.deadlineMillis();
        if (requested.isPresent()) {
            allowed = Math.min(allowed, TimeUnit.MILLISECONDS.toNanos(requested.getAsLong()));
        }
        return new RequestDeadlines(request.arrivedAt(), request.arrivedAt() + allowed, route);
    }

    /** Returns the time left of the latency objective, zero if it can no longer be met. */
    Duration remainingObjective(long now) {
        return isLate(now)
                ? Duration.ZERO
                : Duration.ofNanos(arrivedAt + route.latencyObjective().toNanos() - now);
    }

    /**
     * Returns whether the latency objective can no longer be met: the time left is less than an
     * idle engine needs for its first event.
     */
    boolean isLate(long now) {
        return now - latestOnTimeStart() > 0;
    }

    private long latestOnTimeStart() {
        long objective = route.latencyObjective().toNanos();
        return arrivedAt + objective - objective / MIN_ANSWER_TIME_DIVISOR;
    }

    /**
     * Returns the admission of a request that has just arrived or has begun to wait again. The
     * caller of a stream may disconnect before its deadline if it receives no event for the caller
     * timeout.
     *
     * @param lastEventAt when the caller last received an event, or the request's arrival
     */
    Admission admission(long lastEventAt) {
        boolean stream = route.kind() == RouteKind.STREAM;
        long callerTimeoutAt = lastEventAt + route.callerTimeout().toNanos();
        long end = stream && callerTimeoutAt - deadlineAt < 0 ? callerTimeoutAt : deadlineAt;
        long latest = end - (stream ? MIN_STREAM_TIME : MIN_PLAIN_TIME).toNanos();
        return new Admission(latest, latestOnTimeStart());
    }
}
