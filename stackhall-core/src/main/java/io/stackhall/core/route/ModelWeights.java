package io.stackhall.core.route;

import io.stackhall.core.id.ModelId;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * One model that a service's engines may hold.
 *
 * @param model its name
 * @param weightsMb memory that its weights take, in MB
 * @param adapters the names of its adapters
 * @param adapterMb memory that each adapter takes, in MB
 * @param loadFromStore how long a load from the weight store takes
 * @param loadFromDisk how long a load takes where the engine keeps a copy on its disk
 * @param loadFromMemory how long a load takes where the engine keeps a copy in its host's memory
 */
public record ModelWeights(
        ModelId model,
        double weightsMb,
        List<String> adapters,
        double adapterMb,
        Duration loadFromStore,
        Duration loadFromDisk,
        Duration loadFromMemory) {

    /** Copies the names. */
    public ModelWeights {
        adapters = List.copyOf(adapters);
    }

    /**
     * Returns how long a load takes on an engine.
     *
     * @param inHostMemory the models whose weights its host's memory keeps
     * @param onDisk the models whose weights its disk keeps
     */
    public Duration loadTime(Set<ModelId> inHostMemory, Set<ModelId> onDisk) {
        if (inHostMemory.contains(model)) {
            return loadFromMemory;
        }
        return onDisk.contains(model) ? loadFromDisk : loadFromStore;
    }
}
