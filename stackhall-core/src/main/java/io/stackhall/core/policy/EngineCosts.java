package io.stackhall.core.policy;

import io.stackhall.core.id.ModelId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Costs of loading a model into one engine that do not depend on the model; computed once per
 * decision.
 *
 * @param servedRate requests per second that the engine serves, assuming that the copies of a model
 *     share its requests equally
 * @param displacementCost cost of the local weights that a load from the store displaces
 * @param evictionCandidates the resident artifacts, least valuable first
 */
record EngineCosts(
        double servedRate, double displacementCost, List<EvictionCandidate> evictionCandidates) {

    /**
     * A resident artifact that could be evicted.
     *
     * @param resident the artifact
     * @param value the value that its eviction loses
     */
    record EvictionCandidate(PlacementView.ResidentArtifact resident, double value) {}

    /** Copies the list. */
    EngineCosts {
        evictionCandidates = List.copyOf(evictionCandidates);
    }

    static EngineCosts of(PlacementPlan plan, PlacementView.Engine engine) {
        double servedRate = 0;
        List<EvictionCandidate> losses = new ArrayList<>();
        for (PlacementView.ResidentArtifact resident : engine.resident()) {
            ModelId model = resident.artifact().id();
            int copies = Math.max(1, plan.copies(resident.artifact()));
            servedRate +=
                    plan.deployed(model)
                            .map(deployed -> deployed.ratePerSecond() / copies)
                            .orElse(0.0);
            losses.add(new EvictionCandidate(resident, CopyValue.ofResidentCopy(plan, resident)));
        }
        losses.sort(Comparator.comparingDouble(EvictionCandidate::value));
        return new EngineCosts(servedRate, CopyValue.displacementCost(plan, engine), losses);
    }
}
