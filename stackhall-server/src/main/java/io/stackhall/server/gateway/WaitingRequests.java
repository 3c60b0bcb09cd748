package io.stackhall.server.gateway;

import io.stackhall.server.clock.BootClock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests that wait for an instance: what can still be in time before what can only be late,
 * then the most urgent first, then the one with least time.
 *
 * <p>Under an overload that lasts, an order by rank and age alone keeps every request waiting until
 * it is late: of 134 requests for one model within two seconds none was in time (one day of
 * trouble, from the log).
 */
final class WaitingRequests {

    private final Set<RelayedRequest> requests = new LinkedHashSet<>();
    private final Runnable beforeAll;
    private boolean trying;

    /**
     * Creates a line in which nobody waits.
     *
     * @param beforeAll run before all that wait are tried anew
     */
    WaitingRequests(Runnable beforeAll) {
        this.beforeAll = beforeAll;
    }

    void add(RelayedRequest request) {
        requests.add(request);
    }

    boolean remove(RelayedRequest request) {
        return requests.remove(request);
    }

    int size() {
        return requests.size();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Returns how many requests for the same model come before one, which need not wait yet. */
    int before(RelayedRequest request) {
        int count = 0;
        Comparator<RelayedRequest> order = order(BootClock.nanos());
        for (RelayedRequest other : requests) {
            boolean same = other.need().model().equals(request.need().model());
            if (same && other != request && order.compare(other, request) < 0) {
                count++;
            }
        }
        return count;
    }

    private static Comparator<RelayedRequest> order(long now) {
        return Comparator.comparing((RelayedRequest request) -> request.isLate(now))
                .thenComparingInt(request -> request.need().rank())
                .thenComparingLong(RelayedRequest::deadlineAt);
    }

    /** Tries each once; a request that is sent or refused leaves. */
    void tryAll() {
        if (trying || requests.isEmpty()) {
            return;
        }
        trying = true;
        try {
            beforeAll.run();
            List<RelayedRequest> inOrder = new ArrayList<>(requests);
            inOrder.sort(order(BootClock.nanos()));
            for (RelayedRequest request : inOrder) {
                if (requests.contains(request)) {
                    request.reconsider();
                }
            }
        } finally {
            trying = false;
        }
    }
}
