package io.stackhall.core.policy;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.membership.Artifact;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What a policy decides from.
 *
 * @param seats the upstreams that may be given orders, in a fixed order
 * @param wants the deployed models and adapters
 * @param loadsAllowed how many loads the weight store's limits allow now
 * @param saturatingRate requests a second that keep one upstream busy
 * @param now the monotonic clock, in nanoseconds
 */
public record PlacementView(
        List<Engine> engines,
        List<DeployedArtifact> deployed,
        int loadsAllowed,
        double saturatingRate,
        long now) {

    /**
     * Stands for a capacity that is not known, in requests a second: prompts of 1,800 tokens are
     * read so at 19 tokens a millisecond.
     */
    public static final double DEFAULT_SATURATING_RATE = 8;

    /** Creates a view of upstreams whose capacity is not known. */
    public PlacementView(
            List<Engine> seats, List<DeployedArtifact> wants, int loadsAllowed, long now) {
        this(seats, wants, loadsAllowed, DEFAULT_SATURATING_RATE, now);
    }

    /** Copies the lists. */
    public PlacementView {
        engines = List.copyOf(engines);
        deployed = List.copyOf(deployed);
    }

    /**
     * One upstream.
     *
     * @param upstream its name
     * @param freeMib memory that a load may take, in MiB
     * @param slots requests that it runs at once
     * @param held what is resident, in a fixed order
     * @param busy whether an order to it is still open
     * @param loading what that order loads, if it is a load
     * @param nearCopies how long a load takes of each model whose weights it keeps at hand
     * @param zone its availability zone, where that matters
     */
    public record Engine(
            UpstreamId upstream,
            long freeMib,
            int slots,
            List<ResidentArtifact> resident,
            boolean busy,
            Optional<Artifact> loading,
            Map<ModelId, Duration> localLoadTimes,
            Optional<ZoneId> zone) {
        /** Copies the collections. */
        public Engine {
            resident = List.copyOf(resident);
            localLoadTimes = Map.copyOf(localLoadTimes);
        }

        /** Creates a seat of an upstream that keeps no copies at hand. */
        public Engine(
                UpstreamId upstream,
                long freeMib,
                int slots,
                List<ResidentArtifact> held,
                boolean busy,
                Optional<Artifact> loading) {
            this(upstream, freeMib, slots, held, busy, loading, Map.of(), Optional.empty());
        }

        /** Returns whether any version of a model is resident. */
        public boolean holds(ModelId model) {
            return resident.stream().anyMatch(item -> item.artifact().id().equals(model));
        }

        /** Returns whether this very artifact is resident. */
        public boolean holds(Artifact artifact) {
            return resident.stream().anyMatch(item -> item.artifact().equals(artifact));
        }
    }

    /**
     * One resident artifact.
     *
     * @param artifact what is resident
     * @param memoryMib what it takes, in MiB
     * @param since when it was first seen, on the monotonic clock in nanoseconds
     */
    public record ResidentArtifact(Artifact artifact, long memoryMib, long since) {}

    /**
     * One deployed model or adapter.
     *
     * @param artifact the version that should serve
     * @param memoryMib what it takes, in MiB
     * @param base the model that an adapter needs beside it
     * @param floor copies to keep where memory allows
     * @param ratePerSecond requests a second
     * @param waiting requests that wait for it
     * @param starvedSeconds how long it has been asked for without being resident anywhere
     * @param lastUsed when it was last asked for, on the monotonic clock in nanoseconds, or 0 if
     *     never
     * @param loadFromStore how long a load takes where no copy of its weights is at hand
     */
    public record DeployedArtifact(
            Artifact artifact,
            long memoryMib,
            Optional<Artifact> base,
            int floor,
            double ratePerSecond,
            int waiting,
            double starvedSeconds,
            long lastUsed,
            Duration storeLoadTime) {

        /** Stands for a load time that nobody has told. */
        private static final Duration DEFAULT_STORE_LOAD_TIME = Duration.ofSeconds(9);

        /** Creates a want whose load time is not known. */
        public DeployedArtifact(
                Artifact artifact,
                long memoryMib,
                Optional<Artifact> base,
                int floor,
                double ratePerSecond,
                int waiting,
                double starvedSeconds,
                long lastUsed) {
            this(
                    artifact,
                    memoryMib,
                    base,
                    floor,
                    ratePerSecond,
                    waiting,
                    starvedSeconds,
                    lastUsed,
                    DEFAULT_STORE_LOAD_TIME);
        }
    }
}
