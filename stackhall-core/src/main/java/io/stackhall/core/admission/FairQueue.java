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

    private final Map<CustomerId, Line> lines = new HashMap<>();
    private double virtualTime;
    private int size;

    private static final class Line {
        private final PriorityQueue<Waiting> waiting =
                new PriorityQueue<>(
                        Comparator.comparingLong((Waiting item) -> item.arrival().deadline()));
        private double served;
    }

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    void add(Waiting waiting) {
        Line line = lines.computeIfAbsent(waiting.arrival().caller(), key -> new Line());
        if (line.waiting.isEmpty()) {
            line.served = Math.max(line.served, virtualTime);
        }
        line.waiting.add(waiting);
        size++;
    }

    Optional<Waiting> peek() {
        return next().map(line -> line.waiting.peek());
    }

    /** Removes the request that {@link #peek()} returns and charges its caller for it. */
    void take(double cost) {
        Line line = next().orElseThrow(() -> new IllegalStateException("nothing waits"));
        virtualTime = line.served;
        line.served += cost;
        Waiting taken = line.waiting.remove();
        dropIfEmpty(taken, line);
    }

    boolean remove(Waiting waiting) {
        Line line = lines.get(waiting.arrival().caller());
        if (line == null || !line.waiting.remove(waiting)) {
            return false;
        }
        dropIfEmpty(waiting, line);
        return true;
    }

    private void dropIfEmpty(Waiting removed, Line line) {
        size--;
        if (line.waiting.isEmpty() && line.served <= virtualTime) {
            lines.remove(removed.arrival().caller());
        }
        if (size == 0) {
            lines.clear();
        }
    }

    private Optional<Line> next() {
        return lines.values().stream()
                .filter(line -> !line.waiting.isEmpty())
                .min(Comparator.comparingDouble(line -> line.served));
    }
}
