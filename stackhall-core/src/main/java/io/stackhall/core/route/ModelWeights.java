package io.stackhall.core.route;

import io.stackhall.core.id.ModelId;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A model that a service's engines may hold.
 *
 * @param model its name
 * @param weightsMb memory that its weights take, in MB
 * @param adapters the names of its adapters
 * @param adapterMb memory that each adapter takes, in MB
 * @param loadFromStore the time of a load from the weight store
 * @param loadFromDisk the time of a load from a copy on the engine's disk
 * @param loadFromMemory the time of a load from a copy in the memory of the engine's host
 */
public record ModelWeights(
        ModelId model,
        double weightsMb,
        List<String> adapters,
        double adapterMb,
        Duration loadFromStore,
        Duration loadFromDisk,
        Duration loadFromMemory) {

    /** Copies the adapters. */
    public ModelWeights {
        adapters = List.copyOf(adapters);
    }

    /**
     * Returns the time that a load takes on an engine.
     *
     * @param inHostMemory the models of which its host's memory holds copies
     * @param onDisk the models of which its disk holds copies
     */
    public Duration loadTime(Set<ModelId> inHostMemory, Set<ModelId> onDisk) {
        if (inHostMemory.contains(model)) {
            return loadFromMemory;
        }
        return onDisk.contains(model) ? loadFromDisk : loadFromStore;
    }
}
