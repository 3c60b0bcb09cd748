package io.stackhall.core.admission;

import io.stackhall.core.id.CustomerId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The waiting requests of one target and priority, with fair queuing between callers: the caller
 * that has received the least service comes first, and of each caller the request with the earliest
 * deadline.
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
        CallerQueue queue =
                queues.computeIfAbsent(waiting.arrival().caller(), key -> new CallerQueue());
        if (queue.waiting.isEmpty()) {
            queue.virtualTime = Math.max(queue.virtualTime, virtualTime);
        }
        queue.waiting.add(waiting);
        size++;
    }

    Optional<PendingRequest> peek() {
        return leastServed().map(queue -> queue.waiting.peek());
    }

    /** Removes the request that {@link #peek()} returns and charges its cost to the caller. */
    void take(double cost) {
        CallerQueue queue =
                leastServed().orElseThrow(() -> new IllegalStateException("nothing waits"));
        virtualTime = queue.virtualTime;
        queue.virtualTime += cost;
        PendingRequest taken = queue.waiting.remove();
        dropIfEmpty(taken, queue);
    }

    boolean remove(PendingRequest waiting) {
        CallerQueue queue = queues.get(waiting.arrival().caller());
        if (queue == null || !queue.waiting.remove(waiting)) {
            return false;
        }
        dropIfEmpty(waiting, queue);
        return true;
    }

    private void dropIfEmpty(PendingRequest removed, CallerQueue queue) {
        size--;
        if (queue.waiting.isEmpty() && queue.virtualTime <= virtualTime) {
            queues.remove(removed.arrival().caller());
        }
        if (size == 0) {
            queues.clear();
        }
    }

    private Optional<CallerQueue> leastServed() {
        return queues.values().stream()
                .filter(queue -> !queue.waiting.isEmpty())
                .min(Comparator.comparingDouble(queue -> queue.virtualTime));
    }
}
