package io.stackhall.core.placement;

import io.stackhall.core.id.ModelId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Since when each model has been asked for without being resident anywhere. */
final class StarvationTracker {

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final Map<ModelId, Long> since = new HashMap<>();

    /** Notes that models were asked for; a model that is resident starves no more. */
    void recordRequests(Set<ModelId> models, Set<ModelId> resident, long now) {
        since.keySet().removeAll(resident);
        for (ModelId model : models) {
            if (!resident.contains(model)) {
                since.putIfAbsent(model, now);
            }
        }
    }

    double seconds(ModelId model, long now) {
        Long start = since.get(model);
        return start == null ? 0 : (now - start) / NANOS_PER_SECOND;
    }
}
