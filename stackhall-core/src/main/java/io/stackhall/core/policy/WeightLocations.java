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
final class WeightLocations {

    private final Map<ModelId, Integer> served = new HashMap<>();
    private final Map<ModelId, Integer> localCopies = new HashMap<>();
    private final Map<ModelId, Integer> locations = new HashMap<>();
    private final Map<ModelId, Integer> freeLocalCopies = new HashMap<>();
    private final Map<ZoneId, Set<ModelId>> servedIn = new HashMap<>();
    private final Set<UpstreamId> freeEngines = new HashSet<>();

    WeightLocations(List<PlacementView.Engine> seats) {
        for (PlacementView.Engine seat : seats) {
            Set<ModelId> here = new HashSet<>(seat.localLoadTimes().keySet());
            here.forEach(model -> localCopies.merge(model, 1, Integer::sum));
            for (PlacementView.ResidentArtifact held : seat.resident()) {
                served.merge(held.artifact().id(), 1, Integer::sum);
                here.add(held.artifact().id());
                seat.zone()
                        .ifPresent(
                                zone ->
                                        servedIn.computeIfAbsent(zone, key -> new HashSet<>())
                                                .add(held.artifact().id()));
            }
            here.forEach(model -> locations.merge(model, 1, Integer::sum));
            if (!seat.busy()) {
                freeEngines.add(seat.upstream());
                seat.localLoadTimes()
                        .keySet()
                        .forEach(model -> freeLocalCopies.merge(model, 1, Integer::sum));
            }
        }
    }

    /** Notes that a seat takes no further order in this decision. */
    void assigned(PlacementView.Engine seat) {
        if (freeEngines.remove(seat.upstream())) {
            seat.localLoadTimes()
                    .keySet()
                    .forEach(model -> freeLocalCopies.merge(model, -1, Integer::sum));
        }
    }

    /** Returns how many seats serve a model or keep its weights at hand. */
    int locations(ModelId model) {
        return locations.getOrDefault(model, 0);
    }

    /** Returns how many seats keep the weights of a model at hand. */
    int localCopies(ModelId model) {
        return localCopies.getOrDefault(model, 0);
    }

    /** Returns whether a seat of an availability zone serves a model. */
    boolean servedIn(ZoneId zone, ModelId model) {
        return servedIn.getOrDefault(zone, Set.of()).contains(model);
    }

    /** Returns whether a model is served, or could be loaded at once, without a seat. */
    boolean availableWithout(PlacementView.Engine seat, ModelId model) {
        int servedHere = seat.holds(model) ? 1 : 0;
        boolean freeHere =
                freeEngines.contains(seat.upstream()) && seat.localLoadTimes().containsKey(model);
        return served.getOrDefault(model, 0) > servedHere
                || freeLocalCopies.getOrDefault(model, 0) > (freeHere ? 1 : 0);
    }
}
