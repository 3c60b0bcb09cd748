package io.stackhall.core.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** A baseline: gives every artifact one copy where it fits, in the order deployed, for good. */
public final class StaticPolicy implements PlacementPolicy {

    @Override
    public List<Move> decide(PlacementView view) {
        Planning planning = new Planning(view);
        planning.dropObsolete();
        for (PlacementView.Want want : view.wants()) {
            boolean missing = planning.copies(want.artifact()) == 0;
            if (planning.loadsLeft() > 0 && missing && !planning.planned(want.artifact())) {
                roomiest(planning, want).ifPresent(seat -> planning.load(seat, want));
            }
        }
        return planning.moves();
    }

    static Optional<PlacementView.Seat> roomiest(Planning planning, PlacementView.Want want) {
        return planning.view().seats().stream()
                .filter(planning::available)
                .filter(seat -> planning.baseReady(seat, want))
                .filter(seat -> !seat.holds(want.artifact()))
                .filter(seat -> seat.freeMib() >= want.memoryMib())
                .max(Comparator.comparingLong(PlacementView.Seat::freeMib));
    }
}
