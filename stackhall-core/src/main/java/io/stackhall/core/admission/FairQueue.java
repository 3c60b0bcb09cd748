package io.stackhall.core.admission;

import io.stackhall.core.id.CustomerId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The requests of one target and priority that wait, fair between callers: the caller served least
 * comes first, and of each caller the request with the earliest deadline.
 */
final class FairQueue {

    private final Map<CustomerId, CallerQueue> queues = new HashMap<>();
    private double virtualTime;
    private int size;

    private static final class CallerQueue {
        private final PriorityQueue<PendingRequest> waiting =
                new PriorityQueue<>(
                        Comparator.comparingLong(
                                (PendingRequest item) -> item.arrival().deadline()));
        private double virtualTime;
    }

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    void add(PendingRequest waiting) {
        CallerQueue line =
                queues.computeIfAbsent(waiting.arrival().caller(), key -> new CallerQueue());
        if (line.waiting.isEmpty()) {
            line.virtualTime = Math.max(line.virtualTime, virtualTime);
        }
        line.waiting.add(waiting);
        size++;
    }

    Optional<PendingRequest> peek() {
        return leastServed().map(line -> line.waiting.peek());
    }

    /** Removes the request that {@link #peek()} returns and charges its caller for it. */
    void take(double cost) {
        CallerQueue line =
                leastServed().orElseThrow(() -> new IllegalStateException("nothing waits"));
        virtualTime = line.virtualTime;
        line.virtualTime += cost;
        PendingRequest taken = line.waiting.remove();
        dropIfEmpty(taken, line);
    }

    boolean remove(PendingRequest waiting) {
        CallerQueue line = queues.get(waiting.arrival().caller());
        if (line == null || !line.waiting.remove(waiting)) {
            return false;
        }
        dropIfEmpty(waiting, line);
        return true;
    }

    private void dropIfEmpty(PendingRequest removed, CallerQueue line) {
        size--;
        if (line.waiting.isEmpty() && line.virtualTime <= virtualTime) {
            queues.remove(removed.arrival().caller());
        }
        if (size == 0) {
            queues.clear();
        }
    }

    private Optional<CallerQueue> leastServed() {
        return queues.values().stream()
                .filter(line -> !line.waiting.isEmpty())
                .min(Comparator.comparingDouble(line -> line.virtualTime));
    }
}
