package io.stackhall.server.gateway;

import io.stackhall.server.clock.BootClock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Queue of the requests that wait for an instance. Requests that can still meet their latency
 * objective come first, then the most urgent ones, then those with the earliest deadline.
 *
 * <p>Under a lasting overload, an order by rank and age alone keeps every request waiting until it
 * is late: in one incident, none of 134 requests for one model within two seconds was in time, by
 * the log.
 */
final class WaitingRequests {

    private final Set<RelayedRequest> requests = new LinkedHashSet<>();
    private final List<Runnable> beforeRetry;
    private boolean retrying;

    /**
     * Creates an empty queue.
     *
     * @param beforeRetry run before all waiting requests are tried again
     */
    WaitingRequests(List<Runnable> beforeRetry) {
        this.beforeRetry = List.copyOf(beforeRetry);
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

    /**
     * Returns how many requests for the same model are served before one, which need not be in the
     * queue itself.
     */
    int countAhead(RelayedRequest request) {
        int count = 0;
        Comparator<RelayedRequest> order = servingOrder(BootClock.nanos());
        for (RelayedRequest other : requests) {
            boolean sameModel = other.need().model().equals(request.need().model());
            if (sameModel && other != request && order.compare(other, request) < 0) {
                count++;
            }
        }
        return count;
    }

    private static Comparator<RelayedRequest> servingOrder(long now) {
        return Comparator.comparing((RelayedRequest request) -> request.isLate(now))
                .thenComparingInt(request -> request.need().rank())
                .thenComparingLong(RelayedRequest::deadlineAt);
    }

    /** Tries each request once, in order; one that is sent or refused leaves the queue. */
    void retryAll() {
        if (retrying || requests.isEmpty()) {
            return;
        }
        retrying = true;
        try {
            beforeRetry.forEach(Runnable::run);
            List<RelayedRequest> inOrder = new ArrayList<>(requests);
            inOrder.sort(servingOrder(BootClock.nanos()));
            for (RelayedRequest request : inOrder) {
                if (requests.contains(request)) {
                    request.reconsider();
                }
            }
        } finally {
            retrying = false;
        }
    }
}
