package io.stackhall.server.gateway;

import io.stackhall.server.clock.BootClock;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The requests that have come before this host knows any routes.
 *
 * <p>Routes come soon after a start. While hosts that had all lost power refused whatever came
 * before, 108 requests of one day were refused twice each within 1.7 s.
 */
final class RequestsAwaitingRoutes {

    /** From a host's start to confirmed routes, where all hosts start at once. */
    private static final Duration EXPECTED_START_TIME = Duration.ofMillis(1500);

    /** Before its route is known, a request waits for no longer than any caller stays. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(2);

    /** Left for the request itself, once the routes are known. */
    private static final Duration MIN_PROCESSING_TIME = Duration.ofMillis(350);

    /** Where routes are overdue, no control host can be reached. */
    private static final Duration OVERDUE_RETRY_AFTER = Duration.ofSeconds(1);

    private final long expectedAt = BootClock.nanos() + EXPECTED_START_TIME.toNanos();
    private final Set<RelayedRequest> waiting = new LinkedHashSet<>();

    /** Returns until when a request may wait, on the monotonic clock in nanoseconds. */
    long waitDeadline(CallerRequest request) {
        long patience = MAX_WAIT.toNanos();
        OptionalLong told = request.deadlineMillis();
        if (told.isPresent()) {
            patience = Math.min(patience, TimeUnit.MILLISECONDS.toNanos(told.getAsLong()));
        }
        return request.arrivedAt() + patience - MIN_PROCESSING_TIME.toNanos();
    }

    /** Returns whether the routes should come in time for a request. */
    boolean shouldWait(CallerRequest request, long now) {
        return expectedAt - now > 0 && expectedAt - waitDeadline(request) <= 0;
    }

    /** Returns after which time a request that does not wait is worth another try. */
    Duration retryAfter(long now) {
        return expectedAt - now > 0 ? Duration.ofNanos(expectedAt - now) : OVERDUE_RETRY_AFTER;
    }

    void add(RelayedRequest request) {
        waiting.add(request);
    }

    void remove(RelayedRequest request) {
        waiting.remove(request);
    }

    /** Lets every request go on: the routes are known, or this host is about to stop. */
    void resumeAll() {
        List<RelayedRequest> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(RelayedRequest::start);
    }
}
