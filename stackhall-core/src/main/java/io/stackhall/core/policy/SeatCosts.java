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
record SeatCosts(double crowd, double displaced, List<Loss> byLoss) {

    /**
     * Something that a seat holds.
     *
     * @param held what it is
     * @param worth what is lost with it
     */
    record Loss(PlacementView.Held held, double worth) {}

    /** Copies the list. */
    SeatCosts {
        byLoss = List.copyOf(byLoss);
    }

    static SeatCosts of(Planning planning, PlacementView.Seat seat) {
        double crowd = 0;
        List<Loss> losses = new ArrayList<>();
        for (PlacementView.Held held : seat.held()) {
            ModelId model = held.artifact().id();
            int copies = Math.max(1, planning.copies(held.artifact()));
            crowd += planning.want(model).map(want -> want.ratePerSecond() / copies).orElse(0.0);
            losses.add(new Loss(held, CopyWorth.ofLast(planning, held)));
        }
        losses.sort(Comparator.comparingDouble(Loss::worth));
        return new SeatCosts(crowd, CopyWorth.displaced(planning, seat), losses);
    }
}
