package io.stackhall.core.policy;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Where models are served and where their weights are at hand, counted once for each decision.
 *
 * <p>A decision asks for these counts for each model on each engine. Counted anew each time, as the
 * costs of each seat were, a decision over 56 engines and 148 models took 765 ms of processor time;
 * counted once it takes 34 ms (made-up placement, first compiler only, beside other load).
 */
final class WeightHomes {

    private final Map<ModelId, Integer> served = new HashMap<>();
    private final Map<ModelId, Integer> near = new HashMap<>();
    private final Map<ModelId, Integer> homes = new HashMap<>();
    private final Map<ModelId, Integer> free = new HashMap<>();
    private final Map<ZoneId, Set<ModelId>> servedIn = new HashMap<>();
    private final Set<UpstreamId> freeSeats = new HashSet<>();

    WeightHomes(List<PlacementView.Seat> seats) {
        for (PlacementView.Seat seat : seats) {
            Set<ModelId> here = new HashSet<>(seat.nearCopies().keySet());
            here.forEach(model -> near.merge(model, 1, Integer::sum));
            for (PlacementView.Held held : seat.held()) {
                served.merge(held.artifact().id(), 1, Integer::sum);
                here.add(held.artifact().id());
                seat.zone()
                        .ifPresent(
                                zone ->
                                        servedIn.computeIfAbsent(zone, key -> new HashSet<>())
                                                .add(held.artifact().id()));
            }
            here.forEach(model -> homes.merge(model, 1, Integer::sum));
            if (!seat.busy()) {
                freeSeats.add(seat.upstream());
                seat.nearCopies().keySet().forEach(model -> free.merge(model, 1, Integer::sum));
            }
        }
    }

    /** Notes that a seat takes no further order in this decision. */
    void taken(PlacementView.Seat seat) {
        if (freeSeats.remove(seat.upstream())) {
            seat.nearCopies().keySet().forEach(model -> free.merge(model, -1, Integer::sum));
        }
    }

    /** Returns how many seats serve a model or keep its weights at hand. */
    int homes(ModelId model) {
        return homes.getOrDefault(model, 0);
    }

    /** Returns how many seats keep the weights of a model at hand. */
    int near(ModelId model) {
        return near.getOrDefault(model, 0);
    }

    /** Returns whether a seat of an availability zone serves a model. */
    boolean servedIn(ZoneId zone, ModelId model) {
        return servedIn.getOrDefault(zone, Set.of()).contains(model);
    }

    /** Returns whether a model is served, or could be loaded at once, without a seat. */
    boolean hadWithout(PlacementView.Seat seat, ModelId model) {
        int servedHere = seat.holds(model) ? 1 : 0;
        boolean freeHere =
                freeSeats.contains(seat.upstream()) && seat.nearCopies().containsKey(model);
        return served.getOrDefault(model, 0) > servedHere
                || free.getOrDefault(model, 0) > (freeHere ? 1 : 0);
    }
}
