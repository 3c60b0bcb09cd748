package io.stackhall.core.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A baseline: loads an artifact when a request misses it, and makes room by evicting whatever was
 * used longest ago.
 */
public final class LeastRecentlyUsedPolicy implements PlacementPolicy {

    @Override
    public List<PlacementAction> decide(PlacementView view) {
        PlacementPlan planning = new PlacementPlan(view);
        planning.dropObsolete();
        view.deployed().stream()
                .filter(want -> want.waiting() > 0 && planning.copies(want.artifact()) == 0)
                .sorted(Comparator.comparingInt(PlacementView.DeployedArtifact::waiting).reversed())
                .forEach(want -> loadOrEvict(planning, want));
        return planning.actions();
    }

    private static void loadOrEvict(PlacementPlan planning, PlacementView.DeployedArtifact want) {
        if (planning.hasPendingLoad(want.artifact())) {
            return;
        }
        Optional<PlacementView.Engine> room = StaticPolicy.engineWithMostFreeMemory(planning, want);
        if (room.isPresent()) {
            if (planning.loadsLeft() > 0) {
                planning.load(room.get(), want);
            }
            return;
        }
        evict(planning, want);
    }

    private static void evict(PlacementPlan planning, PlacementView.DeployedArtifact want) {
        planning.view().engines().stream()
                .filter(planning::available)
                .filter(seat -> planning.baseReady(seat, want))
                .filter(seat -> seat.freeMib() + evictableMib(seat, want) >= want.memoryMib())
                .min(Comparator.comparingLong(seat -> leastRecentUse(planning, seat, want)))
                .ifPresent(
                        seat ->
                                leastRecentlyUsed(planning, seat, want)
                                        .ifPresent(held -> planning.unload(seat, held.artifact())));
    }

    private static long evictableMib(
            PlacementView.Engine seat, PlacementView.DeployedArtifact want) {
        return seat.resident().stream()
                .filter(held -> !isBase(held, want))
                .mapToLong(PlacementView.ResidentArtifact::memoryMib)
                .sum();
    }

    private static long leastRecentUse(
            PlacementPlan planning,
            PlacementView.Engine seat,
            PlacementView.DeployedArtifact want) {
        return leastRecentlyUsed(planning, seat, want)
                .map(held -> lastUsed(planning, held))
                .orElse(Long.MAX_VALUE);
    }

    private static Optional<PlacementView.ResidentArtifact> leastRecentlyUsed(
            PlacementPlan planning,
            PlacementView.Engine seat,
            PlacementView.DeployedArtifact want) {
        return seat.resident().stream()
                .filter(held -> !isBase(held, want))
                .filter(held -> !planning.carriesAdapters(seat, held.artifact()))
                .min(Comparator.comparingLong(held -> lastUsed(planning, held)));
    }

    private static boolean isBase(
            PlacementView.ResidentArtifact held, PlacementView.DeployedArtifact want) {
        return want.base().isPresent() && want.base().get().id().equals(held.artifact().id());
    }

    private static long lastUsed(PlacementPlan planning, PlacementView.ResidentArtifact held) {
        return planning.deployed(held.artifact().id())
                .map(PlacementView.DeployedArtifact::lastUsed)
                .orElse(Long.MIN_VALUE);
    }
}
