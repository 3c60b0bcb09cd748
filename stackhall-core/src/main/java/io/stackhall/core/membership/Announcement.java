package io.stackhall.core.membership;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * State that an upstream announces about itself, on every change and at a regular interval.
 * Announcements may be delayed or lost.
 *
 * @param id the upstream
 * @param zone its availability zone
 * @param address where it accepts requests and placement orders, as {@code host:port}
 * @param incarnation increases with each start of the upstream
 * @param sequence increases with each announcement of an incarnation
 * @param services the plain services that it runs; empty for a model engine
 * @param memory its accelerators and the models loaded in them
 * @param load its load when it sent the announcement
 * @param fencing its state for fencing placement orders
 * @param leaving whether it should get no new work
 * @param cachedPrefixes digests of the prompt prefixes in its cache, possibly outdated and
 *     incomplete
 */
public record Announcement(
        UpstreamId id,
        ZoneId zone,
        String address,
        long incarnation,
        long sequence,
        List<ServiceName> services,
        Memory memory,
        Load load,
        Fencing fencing,
        boolean leaving,
        List<Long> cachedPrefixes) {

    /** Copies the lists and validates the components. */
    public Announcement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(memory, "memory");
        Objects.requireNonNull(load, "load");
        Objects.requireNonNull(fencing, "fencing");
        services = List.copyOf(services);
        cachedPrefixes = List.copyOf(cachedPrefixes);
    }

    /**
     * The accelerator memory of an upstream.
     *
     * @param accelerators how many accelerators it drives
     * @param capacityMib total memory of the accelerators, in MiB
     * @param reservedMib memory reserved for the KV cache, in MiB
     * @param resident the loaded models and adapters
     */
    public record Memory(
            int accelerators, long capacityMib, long reservedMib, List<Resident> resident) {
        /** Copies the list and checks the sizes. */
        public Memory {
            resident = List.copyOf(resident);
            if (accelerators < 0 || capacityMib < 0 || reservedMib < 0) {
                throw new IllegalArgumentException(
                        "negative memory: "
                                + accelerators
                                + " accelerators, "
                                + capacityMib
                                + " MiB, "
                                + reservedMib
                                + " MiB reserved");
            }
        }
    }

    /**
     * The load of an upstream.
     *
     * @param slots number of requests that it can run concurrently, at least 1
     * @param running number of requests that are running
     * @param queued number of requests in its queue
     */
    public record Load(int slots, int running, int queued) {
        /** Checks the counts. */
        public Load {
            if (slots < 1 || running < 0 || queued < 0) {
                throw new IllegalArgumentException(
                        "load out of range: "
                                + slots
                                + " slots, "
                                + running
                                + " running, "
                                + queued
                                + " queued");
            }
        }
    }

    /**
     * An upstream's state for fencing placement orders.
     *
     * @param checked whether it refuses an order with an outdated fencing number
     * @param highest the highest fencing number seen
     */
    public record Fencing(boolean checked, long highest) {}

    /** Returns whether the upstream is a model engine rather than a plain service. */
    public boolean engine() {
        return services.isEmpty();
    }

    /** Returns whether this announcement is newer than another one of the same upstream. */
    public boolean newerThan(Announcement other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }

    /** Returns a resident artifact of a model, preferring the given version over any other. */
    public Optional<Artifact> residentOf(ModelId model, String version) {
        Optional<Artifact> any = Optional.empty();
        for (Resident resident : memory.resident()) {
            Artifact artifact = resident.artifact();
            if (artifact.id().equals(model)) {
                if (artifact.version().equals(version)) {
                    return Optional.of(artifact);
                }
                any = Optional.of(artifact);
            }
        }
        return any;
    }

    /** Returns this announcement with the upstream marked as leaving. */
    public Announcement asLeaving() {
        return new Announcement(
                id,
                zone,
                address,
                incarnation,
                sequence,
                services,
                memory,
                load,
                fencing,
                true,
                cachedPrefixes);
    }
}
