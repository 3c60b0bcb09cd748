package io.stackhall.core.route;

import io.stackhall.core.id.ModelId;
import java.time.Duration;

/**
 * One model that a service's engines may hold.
 *
 * @param model its name
 * @param weightsMb memory that its weights take, in MB
 * @param adapters how many adapters it has
 * @param adapterMb memory that each adapter takes, in MB
 * @param loadFromStore how long a load from the weight store takes
 * @param loadFromDisk how long a load takes where the engine keeps a copy on its disk
 * @param loadFromMemory how long a load takes where the engine keeps a copy in its host's memory
 */
public record ModelWeights(
        ModelId model,
        double weightsMb,
        int adapters,
        double adapterMb,
        Duration loadFromStore,
        Duration loadFromDisk,
        Duration loadFromMemory) {}
