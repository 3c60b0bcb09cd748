package io.stackhall.core.fleet;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.SoftwareVersion;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Factory of instances for tests. */
public final class Instances {

    /** The service of every instance made here. */
    public static final ServiceName SERVICE = new ServiceName("engine");

    private Instances() {}

    /** Returns an instance that holds some models. */
    public static Instance instance(String id, long sequence, String... models) {
        return instance(id, "10.0.0." + id.length() + ":" + id.hashCode(), sequence, models);
    }

    /** Returns an instance that is still slow after its start. */
    public static Instance coldInstance(String id, Duration left) {
        Instance instance = instance(id, 1);
        return with(instance, instance.id(), instance.zone(), instance.slots(), left);
    }

    /** Returns an instance of another zone that holds some models. */
    public static Instance instanceInZone(String zone, String id, long sequence, String... models) {
        Instance instance = instance(id, sequence, models);
        return with(instance, instance.id(), new ZoneId(zone), instance.slots(), instance.cold());
    }

    /** Returns an instance of a zone that runs no models. */
    public static Instance plainInstance(String zone, String id, int slots) {
        Instance instance = instance(id, 1);
        return with(instance, instance.id(), new ZoneId(zone), slots, instance.cold());
    }

    /** Returns an incarnation with a known start time. */
    public static Instance incarnation(
            String id, long bornMillis, long sequence, String... models) {
        Instance instance = instance(id, sequence, models);
        return with(
                instance,
                new UpstreamId(id, bornMillis),
                instance.zone(),
                instance.slots(),
                instance.cold());
    }

    private static Instance with(
            Instance instance, UpstreamId id, ZoneId zone, int slots, Duration cold) {
        return with(instance, id, zone, slots, cold, instance.software().orElseThrow());
    }

    private static Instance with(
            Instance instance,
            UpstreamId id,
            ZoneId zone,
            int slots,
            Duration cold,
            SoftwareVersion software) {
        return new Instance(
                id,
                instance.service(),
                instance.address(),
                zone,
                slots,
                instance.state(),
                instance.sequence(),
                cold,
                instance.models(),
                instance.inHostMemory(),
                instance.onDisk(),
                instance.ordersTaken(),
                Optional.of(software));
    }

    /** Returns an instance of a version of the software that holds some models. */
    public static Instance atVersion(String id, String software, String... models) {
        Instance instance = instance(id, 1, models);
        return with(
                instance,
                instance.id(),
                instance.zone(),
                instance.slots(),
                instance.cold(),
                new SoftwareVersion(software));
    }

    /** Returns an instance at an address. */
    public static Instance instance(String id, String address, long sequence, String... models) {
        List<ModelCopy> copies =
                Arrays.stream(models)
                        .map(model -> new ModelCopy(new ModelId(model), 1, Set.of()))
                        .toList();
        return new Instance(
                new UpstreamId(id),
                SERVICE,
                address,
                new ZoneId("plateau"),
                4,
                InstanceState.READY,
                sequence,
                Duration.ZERO,
                copies,
                Set.of(),
                Set.of(),
                0,
                Optional.of(new SoftwareVersion("v1")));
    }
}
