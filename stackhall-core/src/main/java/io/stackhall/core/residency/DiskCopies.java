package io.stackhall.core.residency;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which copies of weights on one engine's disk give way to those of a load from the store: the one
 * that was used longest ago.
 */
final class DiskCopies {

    private final Map<ModelId, Long> lastServed = new HashMap<>();

    /** Takes in which models the engine serves now. */
    void served(Instance instance, long now) {
        instance.models().forEach(copy -> lastServed.put(copy.model(), now));
    }

    /**
     * Returns the one that was served longest ago, or all of those that have not been served since
     * this host knows the engine; none while there is room for one more.
     */
    Set<ModelId> givesWay(Instance instance, EngineSpec spec) {
        if (hasRoom(instance, spec)) {
            return Set.of();
        }
        Set<ModelId> longest = new HashSet<>();
        long oldest = Long.MAX_VALUE;
        for (ModelId model : instance.onDisk()) {
            long served = lastServed.getOrDefault(model, Long.MIN_VALUE);
            if (instance.copyOf(model).isPresent() || served > oldest) {
                continue;
            }
            if (served < oldest) {
                longest.clear();
                oldest = served;
            }
            longest.add(model);
        }
        return longest;
    }

    private static boolean hasRoom(Instance instance, EngineSpec spec) {
        double kept = 0;
        double largest = 0;
        for (ModelWeights weights : spec.models().values()) {
            kept += instance.onDisk().contains(weights.model()) ? weights.weightsMb() : 0;
            largest = Math.max(largest, weights.weightsMb());
        }
        return kept + largest <= spec.diskCopiesMb();
    }
}
