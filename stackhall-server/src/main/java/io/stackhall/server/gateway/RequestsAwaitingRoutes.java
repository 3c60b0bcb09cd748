package io.stackhall.server.gateway;

import io.stackhall.server.clock.BootClock;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Holds requests that arrive before this host has its first routes.
 *
 * <p>Routes arrive soon after a start, so waiting for them is better than refusing: when all hosts
 * restarted after a power loss and refused requests until then, 108 requests in one day were
 * refused twice each within 1.7 s.
 */
final class RequestsAwaitingRoutes {

    /** Time from a host's start to confirmed routes when all hosts start at once. */
    private static final Duration EXPECTED_START_TIME = Duration.ofMillis(1500);

    /**
     * Maximum wait while the route, and with it the caller's timeout, is unknown: no longer than
     * any caller stays connected.
     */
    private static final Duration MAX_WAIT = Duration.ofSeconds(2);

    /** Time reserved for running the request once the routes are known. */
    private static final Duration MIN_PROCESSING_TIME = Duration.ofMillis(350);

    /** Retry delay once the routes are overdue, which means that no control host is reachable. */
    private static final Duration OVERDUE_RETRY_AFTER = Duration.ofSeconds(1);

    private final long expectedAt = BootClock.nanos() + EXPECTED_START_TIME.toNanos();
    private final Set<RelayedRequest> waiting = new LinkedHashSet<>();

    /** Returns when a request has to stop waiting, in nanoseconds of {@link BootClock}. */
    long waitDeadline(CallerRequest request) {
        long maxWait = MAX_WAIT.toNanos();
        OptionalLong requested = request.deadlineMillis();
        if (requested.isPresent()) {
            maxWait = Math.min(maxWait, TimeUnit.MILLISECONDS.toNanos(requested.getAsLong()));
        }
        return request.arrivedAt() + maxWait - MIN_PROCESSING_TIME.toNanos();
    }

    /** Returns whether the routes are expected in time for a request. */
    boolean shouldWait(CallerRequest request, long now) {
        return expectedAt - now > 0 && expectedAt - waitDeadline(request) <= 0;
    }

    /** Returns the delay after which a refused request should be retried. */
    Duration retryAfter(long now) {
        return expectedAt - now > 0 ? Duration.ofNanos(expectedAt - now) : OVERDUE_RETRY_AFTER;
    }

    void add(RelayedRequest request) {
        waiting.add(request);
    }

    void remove(RelayedRequest request) {
        waiting.remove(request);
    }

    /** Restarts every waiting request, because routes are known or this host is about to stop. */
    void resumeAll() {
        List<RelayedRequest> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(RelayedRequest::start);
    }
}
