package io.stackhall.server.callers;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds the requests that a process works on at once, so that no crowd of callers exhausts its
 * memory. What comes beyond the bound is refused before anything of it is read.
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
     * Counts a request in, and tells whether it is within the bound; it must be counted out. A
     * share of the bound is kept for urgent requests.
     */
    boolean enter(boolean urgent) {
        int count = inFlight.incrementAndGet();
        return count <= (urgent ? limit : limit * NON_URGENT_SHARE_PERCENT / 100);
    }

    /** Counts a request out. */
    void leave() {
        inFlight.decrementAndGet();
    }
}
