package io.stackhall.core.policy;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.membership.Artifact;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Gives each place to the model whose next copy is worth most there, and loads a model where its
 * weights are nearest at hand.
 *
 * <p>A model's first copy is worth its whole demand, each further one the queueing that it
 * relieves. A model that requests wait for and that is nowhere is loaded first, wherever the load's
 * time and what it evicts cost least together. A place that is free is filled from a copy at hand,
 * whoever is worth most, so that an engine that has come back empty serves again. Where room has to
 * be made, the unload is followed by the load that it was made for; such a swap has to earn more
 * than it evicts by a margin, so that two models do not swap for ever.
 */
public final class NearestCopyPolicy implements PlacementPolicy {

    /** What a second of loading costs: the engine takes no other order meanwhile. */
    private static final double LOAD_SECOND_COST = 0.3;

    /** Filling a free place from a copy at hand costs little beside. */
    private static final double LOCAL_FILL_SECOND_COST = 0.05;

    /** What a load that is not yet waited for must earn beyond what it evicts. */
    private static final double GAIN_MARGIN = 1.5;

    /**
     * What a second of loading costs for each request a second that the engine serves already: they
     * get no further adapter meanwhile. An engine that served a busy model was once kept from
     * adapters for 9 s by a load of another model from the store, and 20 requests were refused.
     */
    private static final double SERVED_RATE_COST = 0.2;

    /** A copy that has just come stays for as long as its load may take to pay. */
    private static final Duration MIN_RESIDENCE = Duration.ofSeconds(4);

    /** Even for a waiting model: requests for the copy that has come last need time to be sent. */
    private static final Duration MIN_RESIDENCE_WITH_REQUESTS_WAITING = Duration.ofMillis(1500);

    /** A further copy serves more where it is in another zone, which may be cut off. */
    private static final double SAME_ZONE_COST = 2;

    /**
     * Engines that load from the weight store take no other order for that long: at most a third of
     * them, and beside these as many for models that are asked for often. On one calm day two loads
     * of rare models kept the busiest one from its second copy for 9 s. Those of the same decision
     * count too: seven that began together on thirteen engines kept a model that was asked for ever
     * more often from any copy for 6 s (one day of load, from the log). Before the first request
     * all of them may, so that weights have more homes when demand begins.
     */
    private static final int ENGINES_PER_STORE_LOAD = 3;

    private static final double FREQUENT_REQUESTS_PER_SECOND = 2;

    private static final double MILLIS_PER_SECOND = 1000;

    @Override
    public List<PlacementAction> decide(PlacementView view) {
        PlacementPlan planning = new PlacementPlan(view);
        planning.dropObsolete();
        List<PlacementView.DeployedArtifact> models =
                view.deployed().stream().filter(want -> want.base().isEmpty()).toList();
        models.stream()
                .sorted(
                        Comparator.comparingDouble(
                                        (PlacementView.DeployedArtifact want) ->
                                                rank(planning, want))
                                .reversed())
                .forEach(want -> place(planning, want));
        return planning.actions();
    }

    /**
     * Who is worth most goes first, whether its first copy is missing or one more: while models
     * that somebody waited for always went first, one asked for 68 times a second got its second
     * copy 4 s after its demand had risen and its third 7 s later (one day, from the log).
     */
    private static double rank(PlacementPlan planning, PlacementView.DeployedArtifact want) {
        return CopyValue.ofNextCopy(planning, want) + want.starvedSeconds();
    }

    private static void place(PlacementPlan planning, PlacementView.DeployedArtifact want) {
        if (want.waiting() > 0 && planning.copies(want.artifact()) == 0) {
            serveWaiting(planning, want);
        } else {
            addCopy(planning, want);
        }
    }

    /** A place that can be made on one seat, and what it costs. */
    private record LoadOption(
            PlacementView.Engine seat,
            List<Artifact> evicted,
            double loss,
            double loadSeconds,
            double servedRate,
            double displacementCost,
            long blockedModels,
            boolean fromStore,
            boolean servedInZone) {
        double cost() {
            double together = servedInZone ? SAME_ZONE_COST : 0;
            double second = LOAD_SECOND_COST * (1 + blockedModels) + SERVED_RATE_COST * servedRate;
            return loss + displacementCost + together + second * loadSeconds;
        }
    }

    private static void serveWaiting(PlacementPlan planning, PlacementView.DeployedArtifact want) {
        if (planning.hasPendingLoad(want.artifact())) {
            return;
        }
        double worth = CopyValue.ofCopy(planning, want, 1) + want.starvedSeconds();
        cheapestOption(planning, want, MIN_RESIDENCE_WITH_REQUESTS_WAITING)
                .filter(place -> place.loss() <= worth)
                .ifPresent(place -> plan(planning, want, place));
    }

    private static void addCopy(PlacementPlan planning, PlacementView.DeployedArtifact want) {
        double ofCopy = CopyValue.ofNextCopy(planning, want);
        double ofHome = CopyValue.ofWeightLocation(planning, want);
        if (ofCopy + Math.max(0, ofHome) <= 0) {
            return;
        }
        boolean waited = want.waiting() > 0;
        Optional<LoadOption> best =
                cheapestOption(
                        planning,
                        want,
                        waited ? MIN_RESIDENCE_WITH_REQUESTS_WAITING : MIN_RESIDENCE);
        if (best.isEmpty()) {
            return;
        }
        LoadOption place = best.get();
        boolean newHome = place.fromStore() && !planning.hasPendingLoad(want.artifact());
        double gain = ofCopy + (newHome ? ofHome : 0);
        if (gain > requiredGain(place)) {
            plan(planning, want, place);
        }
    }

    private static double requiredGain(LoadOption place) {
        if (place.fromStore()) {
            return GAIN_MARGIN * place.loss()
                    + place.displacementCost()
                    + (1
                                    + SERVED_RATE_COST * place.servedRate()
                                    + LOAD_SECOND_COST * place.blockedModels())
                            * place.loadSeconds();
        }
        if (place.evicted().isEmpty()) {
            return LOCAL_FILL_SECOND_COST * place.loadSeconds();
        }
        return GAIN_MARGIN * place.loss() + LOAD_SECOND_COST * place.loadSeconds();
    }

    private static void plan(
            PlacementPlan planning, PlacementView.DeployedArtifact want, LoadOption place) {
        if (place.evicted().isEmpty()) {
            planning.load(place.seat(), want);
        } else {
            planning.replace(place.seat(), place.evicted().getFirst(), want);
        }
    }

    private static Optional<LoadOption> cheapestOption(
            PlacementPlan planning, PlacementView.DeployedArtifact want, Duration residence) {
        Optional<LoadOption> best = Optional.empty();
        boolean fromStore =
                mayLoadFromStore(planning, want) && !localEngineIsFreeSoon(planning, want);
        for (PlacementView.Engine seat : planning.view().engines()) {
            if (!planning.available(seat) || seat.holds(want.artifact().id())) {
                continue;
            }
            Optional<LoadOption> place = optionOn(planning, seat, want, residence);
            if (place.isEmpty() || (place.get().fromStore() && !fromStore)) {
                continue;
            }
            if (best.isEmpty() || place.get().cost() < best.get().cost()) {
                best = place;
            }
        }
        return best;
    }

    /**
     * A seat that loads from a copy at hand, or unloads, is free again within 2.3 s or less; a
     * first copy waits for it, a further one is needed beside it.
     */
    private static boolean localEngineIsFreeSoon(
            PlacementPlan planning, PlacementView.DeployedArtifact want) {
        if (planning.copies(want.artifact()) > 0) {
            return false;
        }
        ModelId model = want.artifact().id();
        return planning.view().engines().stream()
                .filter(seat -> seat.localLoadTimes().containsKey(model) && !seat.holds(model))
                .anyMatch(seat -> !planning.available(seat) && !PlacementPlan.loadsFromStore(seat));
    }

    private static boolean mayLoadFromStore(
            PlacementPlan planning, PlacementView.DeployedArtifact want) {
        if (planning.loadsLeft() <= 0) {
            return false;
        }
        if (planning.noneRequestedYet()) {
            return true;
        }
        int most = Math.max(1, planning.view().engines().size() / ENGINES_PER_STORE_LOAD);
        most *= want.ratePerSecond() >= FREQUENT_REQUESTS_PER_SECOND ? 2 : 1;
        return planning.storeLoads() < most;
    }

    private static Optional<LoadOption> optionOn(
            PlacementPlan planning,
            PlacementView.Engine seat,
            PlacementView.DeployedArtifact want,
            Duration residence) {
        EngineCosts costs = planning.costs(seat);
        long missing = want.memoryMib() - seat.freeMib();
        List<Artifact> evicted = new ArrayList<>();
        double loss = 0;
        for (EngineCosts.EvictionCandidate candidate : costs.evictionCandidates()) {
            if (missing <= 0) {
                break;
            }
            if (evictable(planning, candidate.resident(), residence)) {
                evicted.add(candidate.resident().artifact());
                missing -= candidate.resident().memoryMib();
                loss += candidate.value();
            }
        }
        if (missing > 0) {
            return Optional.empty();
        }
        ModelId model = want.artifact().id();
        boolean fromStore = !seat.localLoadTimes().containsKey(model);
        double load = loadSeconds(seat, want);
        double displaced = fromStore ? costs.displacementCost() : 0;
        long blocked = fromStore ? blockedModels(planning, seat, evicted) : 0;
        boolean zoneHasIt =
                seat.zone()
                        .filter(zone -> planning.weightLocations().servedIn(zone, model))
                        .isPresent();
        return Optional.of(
                new LoadOption(
                        seat,
                        List.copyOf(evicted),
                        loss,
                        load,
                        costs.servedRate(),
                        displaced,
                        blocked,
                        fromStore,
                        zoneHasIt));
    }

    /**
     * Returns how many models cannot be had while a seat loads from the store: it alone has their
     * weights at hand, or holds them until they make room, and no other one serves them. A model
     * that had made room so was asked for 3 s later, and was had again only after 6 s, when the
     * load of another one on the only engine with its weights had ended (one calm day, from the
     * log).
     */
    private static long blockedModels(
            PlacementPlan planning, PlacementView.Engine seat, List<Artifact> evicted) {
        Set<ModelId> here = new HashSet<>(seat.localLoadTimes().keySet());
        evicted.forEach(artifact -> here.add(artifact.id()));
        seat.resident().stream()
                .map(PlacementView.ResidentArtifact::artifact)
                .filter(artifact -> !evicted.contains(artifact))
                .forEach(artifact -> here.remove(artifact.id()));
        return here.stream()
                .filter(model -> !planning.weightLocations().availableWithout(seat, model))
                .count();
    }

    private static boolean evictable(
            PlacementPlan planning, PlacementView.ResidentArtifact held, Duration residence) {
        return planning.view().now() - held.since() >= residence.toNanos();
    }

    private static double loadSeconds(
            PlacementView.Engine seat, PlacementView.DeployedArtifact want) {
        Duration near = seat.localLoadTimes().get(want.artifact().id());
        Duration load = near == null ? want.storeLoadTime() : near;
        return load.toMillis() / MILLIS_PER_SECOND;
    }
}
