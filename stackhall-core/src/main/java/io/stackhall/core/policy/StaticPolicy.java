package io.stackhall.core.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** A baseline: gives every artifact one copy where it fits, in the order deployed, for good. */
public final class StaticPolicy implements PlacementPolicy {

    @Override
    public List<PlacementAction> decide(PlacementView view) {
        PlacementPlan planning = new PlacementPlan(view);
        planning.dropObsolete();
        for (PlacementView.DeployedArtifact want : view.deployed()) {
            boolean missing = planning.copies(want.artifact()) == 0;
            if (planning.loadsLeft() > 0 && missing && !planning.hasPendingLoad(want.artifact())) {
                engineWithMostFreeMemory(planning, want)
                        .ifPresent(seat -> planning.load(seat, want));
            }
        }
        return planning.actions();
    }

    static Optional<PlacementView.Engine> engineWithMostFreeMemory(
            PlacementPlan planning, PlacementView.DeployedArtifact want) {
        return planning.view().engines().stream()
                .filter(planning::available)
                .filter(seat -> planning.baseReady(seat, want))
                .filter(seat -> !seat.holds(want.artifact()))
                .filter(seat -> seat.freeMib() >= want.memoryMib())
                .max(Comparator.comparingLong(PlacementView.Engine::freeMib));
    }
}
