package io.stackhall.core.placement;

import io.stackhall.core.id.ModelId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Tracks since when each model has been requested without being resident anywhere. */
final class StarvationTracker {

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final Map<ModelId, Long> since = new HashMap<>();

    /** Records requests for models, and ends the starvation of resident ones. */
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
