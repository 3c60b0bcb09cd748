package io.stackhall.server.callers;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the number of requests in flight in this process, so that a crowd of callers cannot
 * exhaust its memory. Requests beyond the limit are refused before their body is read.
 */
final class InFlightLimit {

    private static final int NON_URGENT_SHARE_PERCENT = 75;

    private final AtomicInteger inFlight;
    private final int limit;

    InFlightLimit(AtomicInteger inFlight, int limit) {
        this.inFlight = inFlight;
        this.limit = limit;
    }

    /**
     * Counts a request and returns whether it is within the limit. {@link #leave} must follow in
     * either case. A quarter of the limit is reserved for urgent requests.
     */
    boolean enter(boolean urgent) {
        int count = inFlight.incrementAndGet();
        return count <= (urgent ? limit : limit * NON_URGENT_SHARE_PERCENT / 100);
    }

    /** Removes a request from the count. */
    void leave() {
        inFlight.decrementAndGet();
    }
}
