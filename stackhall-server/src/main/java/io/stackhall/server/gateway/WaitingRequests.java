package io.stackhall.server.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The requests that wait for an instance: the most urgent first, then the one with least time. */
final class WaitingRequests {

    private static final Comparator<RelayedRequest> ORDER =
            Comparator.comparingInt((RelayedRequest request) -> request.need().rank())
                    .thenComparingLong(RelayedRequest::deadlineAt);

    private final Set<RelayedRequest> requests = new LinkedHashSet<>();
    private boolean trying;

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
        for (RelayedRequest other : requests) {
            boolean same = other.need().model().equals(request.need().model());
            if (same && other != request && ORDER.compare(other, request) < 0) {
                count++;
            }
        }
        return count;
    }

    /** Tries each once; a request that is sent or refused leaves. */
    void tryAll() {
        if (trying || requests.isEmpty()) {
            return;
        }
        trying = true;
        try {
            List<RelayedRequest> inOrder = new ArrayList<>(requests);
            inOrder.sort(ORDER);
            for (RelayedRequest request : inOrder) {
                if (requests.contains(request)) {
                    request.tryAgain();
                }
            }
        } finally {
            trying = false;
        }
    }
}
