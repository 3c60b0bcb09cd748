package io.stackhall.core.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A baseline: loads one copy of every artifact where it fits, in deployment order, and never evicts
 * a deployed one.
 */
public final class StaticPolicy implements PlacementPolicy {

    @Override
    public List<PlacementAction> decide(PlacementView view) {
        PlacementPlan plan = new PlacementPlan(view);
        plan.dropObsolete();
        for (PlacementView.DeployedArtifact deployed : view.deployed()) {
            boolean missing = plan.copies(deployed.artifact()) == 0;
            if (plan.loadsLeft() > 0 && missing && !plan.hasPendingLoad(deployed.artifact())) {
                engineWithMostFreeMemory(plan, deployed)
                        .ifPresent(engine -> plan.load(engine, deployed));
            }
        }
        return plan.actions();
    }

    static Optional<PlacementView.Engine> engineWithMostFreeMemory(
            PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        return plan.view().engines().stream()
                .filter(plan::available)
                .filter(engine -> plan.baseReady(engine, deployed))
                .filter(engine -> !engine.holds(deployed.artifact()))
                .filter(engine -> engine.freeMib() >= deployed.memoryMib())
                .max(Comparator.comparingLong(PlacementView.Engine::freeMib));
    }
}
