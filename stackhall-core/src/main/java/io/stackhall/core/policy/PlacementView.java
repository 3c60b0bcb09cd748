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
 * The input of a placement decision: the engines of a zone and the deployed artifacts.
 *
 * @param engines the upstreams that accept orders, in a stable order
 * @param deployed the deployed models and adapters
 * @param loadsAllowed how many loads the weight store's limits allow now
 * @param saturatingRate requests per second that saturate one upstream
 * @param now the monotonic clock, in nanoseconds
 */
public record PlacementView(
        List<Engine> engines,
        List<DeployedArtifact> deployed,
        int loadsAllowed,
        double saturatingRate,
        long now) {

    /**
     * Requests per second that saturate an upstream of unknown capacity: an upstream that reads 19
     * prompt tokens per millisecond handles prompts of 1,800 tokens at about this rate.
     */
    public static final double DEFAULT_SATURATING_RATE = 8;

    /** Creates a view of upstreams whose capacity is not known. */
    public PlacementView(
            List<Engine> engines, List<DeployedArtifact> deployed, int loadsAllowed, long now) {
        this(engines, deployed, loadsAllowed, DEFAULT_SATURATING_RATE, now);
    }

    /** Copies the lists. */
    public PlacementView {
        engines = List.copyOf(engines);
        deployed = List.copyOf(deployed);
    }

    /**
     * One upstream, as a place for artifacts.
     *
     * @param upstream its id
     * @param freeMib memory available for loads, in MiB
     * @param slots requests that it runs concurrently
     * @param resident the resident artifacts, in a stable order
     * @param busy whether an order to it is still open
     * @param loading the artifact that the open order loads, if it is a load
     * @param localLoadTimes load time of each model whose weights it stores locally
     * @param zone its availability zone, if the policy should spread copies over zones
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

        /** Creates an engine without local weights. */
        public Engine(
                UpstreamId upstream,
                long freeMib,
                int slots,
                List<ResidentArtifact> resident,
                boolean busy,
                Optional<Artifact> loading) {
            this(upstream, freeMib, slots, resident, busy, loading, Map.of(), Optional.empty());
        }

        /** Returns whether any version of a model is resident. */
        public boolean holds(ModelId model) {
            return resident.stream().anyMatch(item -> item.artifact().id().equals(model));
        }

        /** Returns whether this version of an artifact is resident. */
        public boolean holds(Artifact artifact) {
            return resident.stream().anyMatch(item -> item.artifact().equals(artifact));
        }
    }

    /**
     * One resident artifact.
     *
     * @param artifact the artifact
     * @param memoryMib what it takes, in MiB
     * @param since when it was first reported as resident, on the monotonic clock in nanoseconds
     */
    public record ResidentArtifact(Artifact artifact, long memoryMib, long since) {}

    /**
     * One deployed model or adapter.
     *
     * @param artifact the version that should serve
     * @param memoryMib what it takes, in MiB
     * @param base the model that an adapter needs resident on the same engine
     * @param floor minimum number of copies, where memory allows
     * @param ratePerSecond requests per second
     * @param waiting number of requests waiting for it
     * @param starvedSeconds how long it has been requested without being resident anywhere
     * @param lastUsed when it was last requested, on the monotonic clock in nanoseconds, or 0 if
     *     never
     * @param storeLoadTime load time on an engine without local weights
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

        /** Used where the load time is not known. */
        private static final Duration DEFAULT_STORE_LOAD_TIME = Duration.ofSeconds(9);

        /** Creates a deployed artifact whose load time is not known. */
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
