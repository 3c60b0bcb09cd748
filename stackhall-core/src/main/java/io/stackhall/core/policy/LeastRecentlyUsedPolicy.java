package io.stackhall.core.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A baseline: loads an artifact when a request finds it on no engine, and makes room by evicting
 * the least recently used artifacts.
 */
public final class LeastRecentlyUsedPolicy implements PlacementPolicy {

    @Override
    public List<PlacementAction> decide(PlacementView view) {
        PlacementPlan plan = new PlacementPlan(view);
        plan.dropObsolete();
        view.deployed().stream()
                .filter(deployed -> deployed.waiting() > 0 && plan.copies(deployed.artifact()) == 0)
                .sorted(Comparator.comparingInt(PlacementView.DeployedArtifact::waiting).reversed())
                .forEach(deployed -> loadOrEvict(plan, deployed));
        return plan.actions();
    }

    private static void loadOrEvict(PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        if (plan.hasPendingLoad(deployed.artifact())) {
            return;
        }
        Optional<PlacementView.Engine> withMemory =
                StaticPolicy.engineWithMostFreeMemory(plan, deployed);
        if (withMemory.isPresent()) {
            if (plan.loadsLeft() > 0) {
                plan.load(withMemory.get(), deployed);
            }
            return;
        }
        evict(plan, deployed);
    }

    private static void evict(PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        plan.view().engines().stream()
                .filter(plan::available)
                .filter(engine -> plan.baseReady(engine, deployed))
                .filter(
                        engine ->
                                engine.freeMib() + evictableMib(engine, deployed)
                                        >= deployed.memoryMib())
                .min(Comparator.comparingLong(engine -> leastRecentUse(plan, engine, deployed)))
                .ifPresent(
                        engine ->
                                leastRecentlyUsed(plan, engine, deployed)
                                        .ifPresent(
                                                resident ->
                                                        plan.unload(engine, resident.artifact())));
    }

    private static long evictableMib(
            PlacementView.Engine engine, PlacementView.DeployedArtifact deployed) {
        return engine.resident().stream()
                .filter(resident -> !isBase(resident, deployed))
                .mapToLong(PlacementView.ResidentArtifact::memoryMib)
                .sum();
    }

    private static long leastRecentUse(
            PlacementPlan plan,
            PlacementView.Engine engine,
            PlacementView.DeployedArtifact deployed) {
        return leastRecentlyUsed(plan, engine, deployed)
                .map(resident -> lastUsed(plan, resident))
                .orElse(Long.MAX_VALUE);
    }

    private static Optional<PlacementView.ResidentArtifact> leastRecentlyUsed(
            PlacementPlan plan,
            PlacementView.Engine engine,
            PlacementView.DeployedArtifact deployed) {
        return engine.resident().stream()
                .filter(resident -> !isBase(resident, deployed))
                .filter(resident -> !plan.carriesAdapters(engine, resident.artifact()))
                .min(Comparator.comparingLong(resident -> lastUsed(plan, resident)));
    }

    private static boolean isBase(
            PlacementView.ResidentArtifact resident, PlacementView.DeployedArtifact deployed) {
        return deployed.base().isPresent()
                && deployed.base().get().id().equals(resident.artifact().id());
    }

    private static long lastUsed(PlacementPlan plan, PlacementView.ResidentArtifact resident) {
        return plan.deployed(resident.artifact().id())
                .map(PlacementView.DeployedArtifact::lastUsed)
                .orElse(Long.MIN_VALUE);
    }
}
