package io.stackhall.core.placement;

import io.stackhall.core.config.Deployment;
import io.stackhall.core.config.PolicyName;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Artifact;
import io.stackhall.core.policy.ExpectedGainPolicy;
import io.stackhall.core.policy.LeastRecentlyUsedPolicy;
import io.stackhall.core.policy.NearestCopyPolicy;
import io.stackhall.core.policy.PlacementAction;
import io.stackhall.core.policy.PlacementPolicy;
import io.stackhall.core.policy.PlacementView;
import io.stackhall.core.policy.StaticPolicy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Evaluates a policy on the live demand without issuing orders. Its moves change a simulated copy
 * of the zone's residency, which starts from the real one.
 */
final class ShadowPlacement {

    private static final long LOAD_NANOS = Duration.ofSeconds(2).toNanos();

    private final PlacementPolicy policy;
    private final Map<UpstreamId, List<PlacementView.ResidentArtifact>> held = new HashMap<>();
    private final List<Loading> loading = new ArrayList<>();
    private final Map<ModelId, Integer> waiting = new HashMap<>();
    private final Set<Placement> speculative = new HashSet<>();
    private final StarvationTracker starvation = new StarvationTracker();
    private final ZoneStoreLimiter storeLimiter;
    private PlacementCounts counts = PlacementCounts.none();

    ShadowPlacement(PolicyName policy, int zones, long now) {
        this.policy = PlacementPolicy.of(policy);
        this.storeLimiter = new ZoneStoreLimiter(zones, now);
    }

    private record Placement(UpstreamId upstream, Artifact artifact) {}

    private record Loading(
            UpstreamId upstream, PlacementView.DeployedArtifact deployed, long readyAt) {}

    PolicyName policy() {
        return switch (policy) {
            case ExpectedGainPolicy ignored -> PolicyName.EXPECTED_GAIN;
            case NearestCopyPolicy ignored -> PolicyName.NEAREST_COPY;
            case LeastRecentlyUsedPolicy ignored -> PolicyName.LEAST_RECENTLY_USED;
            case StaticPolicy ignored -> PolicyName.STATIC;
        };
    }

    PlacementCounts counts() {
        return counts;
    }

    void recordArrivals(Map<ModelId, Integer> arrivals, long now) {
        Set<ModelId> resident = residentModels();
        starvation.recordRequests(arrivals.keySet(), resident, now);
        arrivals.forEach(
                (model, count) -> {
                    boolean missed = !resident.contains(model);
                    counts = counts.withArrivals(count, missed);
                    if (missed) {
                        waiting.merge(model, count, Integer::sum);
                    }
                });
    }

    void decide(
            List<PlacementView.Engine> real,
            Deployment deployment,
            DemandTracker demand,
            long now) {
        storeLimiter.setLimits(deployment.weightStore());
        finishLoads(now);
        List<PlacementView.Engine> engines = new ArrayList<>();
        real.forEach(engine -> engines.add(shadowOf(engine)));
        List<PlacementView.DeployedArtifact> deployed =
                PlacementViewBuilder.deployed(
                        deployment,
                        demand,
                        model -> waiting.getOrDefault(model, 0),
                        starvation,
                        residentModels(),
                        now);
        int allowed = storeLimiter.availableLoads(loading.size(), now);
        PlacementView view = new PlacementView(engines, deployed, allowed, now);
        policy.decide(view).forEach(action -> apply(action, deployed, now));
    }

    private void apply(
            PlacementAction action, List<PlacementView.DeployedArtifact> deployed, long now) {
        switch (action) {
            case PlacementAction.Load(UpstreamId upstream, Artifact artifact, boolean urgent) -> {
                if (!urgent) {
                    speculative.add(new Placement(upstream, artifact));
                }
                counts = counts.withLoad();
                storeLimiter.recordLoad();
                deployed.stream()
                        .filter(deployedArtifact -> deployedArtifact.artifact().equals(artifact))
                        .findFirst()
                        .ifPresent(
                                deployedArtifact ->
                                        loading.add(
                                                new Loading(
                                                        upstream,
                                                        deployedArtifact,
                                                        now + LOAD_NANOS)));
            }
            case PlacementAction.Unload(UpstreamId upstream, Artifact artifact) ->
                    unload(upstream, artifact, deployed);
        }
    }

    private void unload(
            UpstreamId upstream, Artifact artifact, List<PlacementView.DeployedArtifact> deployed) {
        List<PlacementView.ResidentArtifact> on = held.get(upstream);
        boolean unused =
                on.stream()
                        .filter(item -> item.artifact().equals(artifact))
                        .anyMatch(item -> unusedSince(item, deployed));
        on.removeIf(item -> item.artifact().equals(artifact));
        if (speculative.remove(new Placement(upstream, artifact)) && unused) {
            counts = counts.withNeedlessLoad();
        }
    }

    private static boolean unusedSince(
            PlacementView.ResidentArtifact item, List<PlacementView.DeployedArtifact> deployed) {
        return deployed.stream()
                .filter(artifact -> artifact.artifact().id().equals(item.artifact().id()))
                .anyMatch(artifact -> artifact.lastUsed() < item.since());
    }

    private void finishLoads(long now) {
        for (Loading item : List.copyOf(loading)) {
            if (now - item.readyAt() >= 0) {
                loading.remove(item);
                waiting.remove(item.deployed().artifact().id());
                held.computeIfAbsent(item.upstream(), key -> new ArrayList<>())
                        .add(
                                new PlacementView.ResidentArtifact(
                                        item.deployed().artifact(),
                                        item.deployed().memoryMib(),
                                        item.readyAt() - LOAD_NANOS));
            }
        }
    }

    private PlacementView.Engine shadowOf(PlacementView.Engine engine) {
        List<PlacementView.ResidentArtifact> on =
                held.computeIfAbsent(engine.upstream(), key -> new ArrayList<>(engine.resident()));
        long total = engine.freeMib() + sum(engine.resident());
        Optional<Loading> incoming =
                loading.stream()
                        .filter(item -> item.upstream().equals(engine.upstream()))
                        .findFirst();
        long incomingMib = incoming.map(item -> item.deployed().memoryMib()).orElse(0L);
        return new PlacementView.Engine(
                engine.upstream(),
                total - sum(on) - incomingMib,
                engine.slots(),
                on,
                incoming.isPresent(),
                incoming.map(item -> item.deployed().artifact()));
    }

    private Set<ModelId> residentModels() {
        Set<ModelId> resident = new HashSet<>();
        held.values().forEach(on -> on.forEach(item -> resident.add(item.artifact().id())));
        return resident;
    }

    private static long sum(List<PlacementView.ResidentArtifact> held) {
        return held.stream().mapToLong(PlacementView.ResidentArtifact::memoryMib).sum();
    }
}
