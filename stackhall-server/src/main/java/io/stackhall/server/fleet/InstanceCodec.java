package io.stackhall.server.fleet;

import io.stackhall.core.config.Finding;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.SoftwareVersion;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.rpc.generated.fleet.InstanceRecord;
import io.stackhall.rpc.generated.fleet.InstancesUpdate;
import io.stackhall.rpc.generated.fleet.ResidentModel;
import io.stackhall.rpc.generated.peer.Frame;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Encodes instances for other hosts. */
public final class InstanceCodec {

    private InstanceCodec() {}

    /**
     * Returns a frame in which a control host reports instances.
     *
     * @param entryHosts number of entry hosts that follow it
     */
    public static Frame frame(Collection<Instance> instances, int entryHosts) {
        return Frame.newBuilder().setInstances(update(instances, entryHosts)).build();
    }

    private static InstancesUpdate.Builder update(Collection<Instance> instances, int entryHosts) {
        InstancesUpdate.Builder update = InstancesUpdate.newBuilder().setEntryHosts(entryHosts);
        instances.forEach(instance -> update.addInstances(encode(instance)));
        return update;
    }

    /**
     * Returns a frame in which a control host reports all the instances that it knows, and those
     * that it knows to be gone: a receiver that missed their end would go on using them.
     *
     * @param entryHosts number of entry hosts that follow it
     */
    public static Frame fullFrame(
            Collection<Instance> instances, Collection<UpstreamId> gone, int entryHosts) {
        InstancesUpdate.Builder update = update(instances, entryHosts).setWhole(true);
        gone.forEach(id -> update.addGone(id.toString()));
        return Frame.newBuilder().setInstances(update).build();
    }

    /** Returns a frame in which a control host reports that incarnations it lacks are gone. */
    public static Frame goneFrame(Collection<UpstreamId> gone, int entryHosts) {
        InstancesUpdate.Builder update = update(List.of(), entryHosts);
        gone.forEach(id -> update.addGone(id.toString()));
        return Frame.newBuilder().setInstances(update).build();
    }

    /**
     * Returns a frame in which a control host reports that it cannot vouch for versions.
     *
     * @param entryHosts number of entry hosts that follow it
     */
    public static Frame unwatchedFrame(int entryHosts) {
        return Frame.newBuilder()
                .setInstances(update(List.of(), entryHosts).setUnwatched(true))
                .build();
    }

    /** Returns the incarnations that an update reports as gone. */
    public static List<UpstreamId> gone(InstancesUpdate update) {
        return update.getGoneList().stream().map(UpstreamId::parse).toList();
    }

    /** Encodes an instance. */
    public static InstanceRecord encode(Instance instance) {
        InstanceRecord.Builder record =
                InstanceRecord.newBuilder()
                        .setId(instance.id().toString())
                        .setService(instance.service().value())
                        .setAddress(instance.address())
                        .setZone(instance.zone().value())
                        .setSlots(instance.slots())
                        .setState(encode(instance.state()))
                        .setSequence(instance.sequence())
                        .setColdMillis(instance.cold().toMillis())
                        .setOrdersTaken(instance.ordersTaken());
        for (ModelCopy copy : instance.models()) {
            record.addModels(
                    ResidentModel.newBuilder()
                            .setName(copy.model().value())
                            .setVersion(copy.version())
                            .addAllAdapters(copy.adapters()));
        }
        instance.software().ifPresent(version -> record.setSoftware(version.value()));
        instance.inHostMemory().forEach(model -> record.addCopiesInMemory(model.value()));
        instance.onDisk().forEach(model -> record.addCopiesOnDisk(model.value()));
        return record.build();
    }

    /**
     * Decodes an instance. A record that this version cannot interpret, for example from a host
     * with another version, yields a finding.
     */
    public static Either<Finding, Instance> decode(InstanceRecord record) {
        try {
            return Either.right(instance(record));
        } catch (IllegalArgumentException e) {
            return Either.left(
                    new Finding("record of " + record.getId(), String.valueOf(e.getMessage())));
        }
    }

    private static Instance instance(InstanceRecord record) {
        List<ModelCopy> models = new ArrayList<>();
        for (ResidentModel model : record.getModelsList()) {
            models.add(
                    new ModelCopy(
                            new ModelId(model.getName()),
                            model.getVersion(),
                            new HashSet<>(model.getAdaptersList())));
        }
        return new Instance(
                UpstreamId.parse(record.getId()),
                new ServiceName(record.getService()),
                record.getAddress(),
                new ZoneId(record.getZone()),
                record.getSlots(),
                decode(record.getState()),
                record.getSequence(),
                Duration.ofMillis(record.getColdMillis()),
                models,
                modelIds(record.getCopiesInMemoryList()),
                modelIds(record.getCopiesOnDiskList()),
                record.getOrdersTaken(),
                record.hasSoftware()
                        ? Optional.of(SoftwareVersion.of(record.getSoftware()))
                        : Optional.empty());
    }

    private static Set<ModelId> modelIds(List<String> names) {
        Set<ModelId> models = new HashSet<>();
        names.forEach(name -> models.add(new ModelId(name)));
        return models;
    }

    private static io.stackhall.rpc.generated.fleet.InstanceState encode(InstanceState state) {
        return switch (state) {
            case READY -> io.stackhall.rpc.generated.fleet.InstanceState.READY;
            case DRAINING -> io.stackhall.rpc.generated.fleet.InstanceState.DRAINING;
            case SILENT -> io.stackhall.rpc.generated.fleet.InstanceState.SILENT;
            case GONE -> io.stackhall.rpc.generated.fleet.InstanceState.GONE;
        };
    }

    private static InstanceState decode(io.stackhall.rpc.generated.fleet.InstanceState state) {
        return switch (state) {
            case READY -> InstanceState.READY;
            case DRAINING -> InstanceState.DRAINING;
            case SILENT -> InstanceState.SILENT;
            case GONE -> InstanceState.GONE;
            case UNRECOGNIZED ->
                    throw new IllegalArgumentException("unknown state of an instance: " + state);
        };
    }
}
