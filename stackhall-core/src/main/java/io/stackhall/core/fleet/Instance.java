package io.stackhall.core.fleet;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.SoftwareVersion;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The latest report of one incarnation of an upstream. An incarnation is one run of its process.
 *
 * @param id the incarnation of the upstream
 * @param service the service that it belongs to
 * @param address the address that it serves on, as ip:port
 * @param zone the availability zone
 * @param slots the number of requests that it can run concurrently
 * @param state whether it accepts requests
 * @param sequence the sequence number, which increases with every report of the incarnation
 * @param cold the remaining time for which it is slow after its start
 * @param models the models that it serves
 * @param inHostMemory the models that it can load from its host's memory
 * @param onDisk the models that it can load from its disk
 * @param ordersTaken the number of orders that it has taken
 * @param software the version of its software; empty if a host of an earlier version reported it
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
        long ordersTaken,
        Optional<SoftwareVersion> software) {

    /** Creates an instance with copies of the collections. */
    public Instance {
        models = List.copyOf(models);
        inHostMemory = Set.copyOf(inHostMemory);
        onDisk = Set.copyOf(onDisk);
    }

    /** Returns the copy of a model, if the instance serves it. */
    public Optional<ModelCopy> copyOf(ModelId model) {
        for (ModelCopy copy : models) {
            if (copy.model().equals(model)) {
                return Optional.of(copy);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether the weights of a model can be loaded from host memory or disk, without the
     * weight store.
     */
    public boolean hasLocalWeights(ModelId model) {
        return inHostMemory.contains(model) || onDisk.contains(model);
    }

    /** Returns a copy with another state. */
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
                ordersTaken,
                software);
    }
}
