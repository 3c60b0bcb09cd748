package io.stackhall.core.fleet;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * What one incarnation of an upstream last said of itself.
 *
 * @param id the life of the upstream
 * @param service what it serves
 * @param address where it serves, ip:port
 * @param zone where it stands
 * @param slots requests that it runs at once
 * @param state whether it takes work
 * @param sequence rises with every report of this incarnation
 * @param cold how much longer it stays slow after its start
 * @param models what it serves now
 * @param inHostMemory models that it can load from its host's memory
 * @param onDisk models that it can load from its disk
 * @param ordersTaken how many orders it has taken
 */
public record Instance(
        UpstreamId id,
        ServiceName service,
        String address,
        ZoneId zone,
        int slots,
        InstanceState state,
        long sequence,
        Duration cold,
        List<ModelCopy> models,
        Set<ModelId> inHostMemory,
        Set<ModelId> onDisk,
        long ordersTaken) {

    /** Copies the collections. */
    public Instance {
        models = List.copyOf(models);
        inHostMemory = Set.copyOf(inHostMemory);
        onDisk = Set.copyOf(onDisk);
    }

    /** Returns its copy of a model, if it serves it. */
    public Optional<ModelCopy> copyOf(ModelId model) {
        for (ModelCopy copy : models) {
            if (copy.model().equals(model)) {
                return Optional.of(copy);
            }
        }
        return Optional.empty();
    }

    /** Returns whether the weights of a model are at hand without the weight store. */
    public boolean hasLocalWeights(ModelId model) {
        return inHostMemory.contains(model) || onDisk.contains(model);
    }

    /** Returns this instance in another state. */
    public Instance withState(InstanceState next) {
        return new Instance(
                id,
                service,
                address,
                zone,
                slots,
                next,
                sequence,
                cold,
                models,
                inHostMemory,
                onDisk,
                ordersTaken);
    }
}
