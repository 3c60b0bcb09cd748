package io.stackhall.core.policy;

import io.stackhall.core.id.ModelId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What it costs to use one seat, whichever model is placed there; worked out once a decision.
 *
 * @param crowd requests a second that the seat serves, where each copy takes its equal share
 * @param displaced what a load from the store costs by the weights at hand that give way to it
 * @param byLoss what the seat holds, the cheapest to lose first
 */
record EngineCosts(
        double servedRate, double displacementCost, List<EvictionCandidate> evictionCandidates) {

    /**
     * Something that a seat holds.
     *
     * @param held what it is
     * @param worth what is lost with it
     */
    record EvictionCandidate(PlacementView.ResidentArtifact resident, double value) {}

    /** Copies the list. */
    EngineCosts {
        evictionCandidates = List.copyOf(evictionCandidates);
    }

    static EngineCosts of(PlacementPlan planning, PlacementView.Engine seat) {
        double crowd = 0;
        List<EvictionCandidate> losses = new ArrayList<>();
        for (PlacementView.ResidentArtifact held : seat.resident()) {
            ModelId model = held.artifact().id();
            int copies = Math.max(1, planning.copies(held.artifact()));
            crowd +=
                    planning.deployed(model).map(want -> want.ratePerSecond() / copies).orElse(0.0);
            losses.add(new EvictionCandidate(held, CopyValue.ofResidentCopy(planning, held)));
        }
        losses.sort(Comparator.comparingDouble(EvictionCandidate::value));
        return new EngineCosts(crowd, CopyValue.displacementCost(planning, seat), losses);
    }
}
