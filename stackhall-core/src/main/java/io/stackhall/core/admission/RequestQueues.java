package io.stackhall.core.admission;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.routing.Target;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** All waiting requests, by target and priority, with counts by caller. */
final class RequestQueues {

    private final Map<Target, EnumMap<Priority, FairQueue>> queues = new LinkedHashMap<>();
    private final Map<CustomerId, Integer> byCaller = new HashMap<>();
    private final Set<PendingRequest> all = new LinkedHashSet<>();

    int size() {
        return all.size();
    }

    List<PendingRequest> all() {
        return List.copyOf(all);
    }

    List<Target> targets() {
        return List.copyOf(queues.keySet());
    }

    int countOfCaller(CustomerId caller) {
        return byCaller.getOrDefault(caller, 0);
    }

    void add(PendingRequest waiting) {
        Arrival arrival = waiting.arrival();
        queues.computeIfAbsent(arrival.target(), key -> new EnumMap<>(Priority.class))
                .computeIfAbsent(arrival.priority(), key -> new FairQueue())
                .add(waiting);
        all.add(waiting);
        byCaller.merge(arrival.caller(), 1, Integer::sum);
    }

    void remove(PendingRequest waiting) {
        Arrival arrival = waiting.arrival();
        queue(arrival.target(), arrival.priority()).ifPresent(queue -> queue.remove(waiting));
        forget(waiting);
    }

    void take(FairQueue queue, PendingRequest waiting, double cost) {
        queue.take(cost);
        forget(waiting);
    }

    Optional<FairQueue> queue(Target target, Priority priority) {
        EnumMap<Priority, FairQueue> byPriority = queues.get(target);
        return byPriority == null
                ? Optional.empty()
                : Optional.ofNullable(byPriority.get(priority));
    }

    /** Returns the number of requests of the same or a higher priority that wait for a target. */
    int countAhead(Target target, Priority priority) {
        EnumMap<Priority, FairQueue> byPriority = queues.get(target);
        if (byPriority == null) {
            return 0;
        }
        int sum = 0;
        for (Map.Entry<Priority, FairQueue> entry : byPriority.entrySet()) {
            if (entry.getKey().compareTo(priority) <= 0) {
                sum += entry.getValue().size();
            }
        }
        return sum;
    }

    Map<ModelId, Integer> waitingByModel() {
        Map<ModelId, Integer> counts = new HashMap<>();
        for (Map.Entry<Target, EnumMap<Priority, FairQueue>> entry : queues.entrySet()) {
            if (entry.getKey() instanceof Target.Model(ModelId model)) {
                int sum = entry.getValue().values().stream().mapToInt(FairQueue::size).sum();
                counts.put(model, sum);
            }
        }
        return counts;
    }

    private void forget(PendingRequest waiting) {
        Arrival arrival = waiting.arrival();
        all.remove(waiting);
        byCaller.computeIfPresent(
                arrival.caller(), (caller, count) -> count == 1 ? null : count - 1);
        EnumMap<Priority, FairQueue> byPriority = queues.get(arrival.target());
        if (byPriority != null && byPriority.values().stream().allMatch(FairQueue::isEmpty)) {
            queues.remove(arrival.target());
        }
    }
}
