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
    private static final double FILL_SECOND_COST = 0.05;

    /** What a load that is not yet waited for must earn beyond what it evicts. */
    private static final double MARGIN = 1.5;

    /**
     * What a second of loading costs for each request a second that the engine serves already: they
     * get no further adapter meanwhile. An engine that served a busy model was once kept from
     * adapters for 9 s by a load of another model from the store, and 20 requests were refused.
     */
    private static final double CROWDING_COST = 0.2;

    /** A copy that has just come stays for as long as its load may take to pay. */
    private static final Duration LEAST_RESIDENCE = Duration.ofSeconds(4);

    /** Even for a waiting model: requests for the copy that has come last need time to be sent. */
    private static final Duration LEAST_RESIDENCE_WHILE_WAITED_FOR = Duration.ofMillis(1500);

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
    private static final int SEATS_PER_STORE_LOAD = 3;

    private static final double OFTEN_PER_SECOND = 2;

    private static final double MILLIS_PER_SECOND = 1000;

    @Override
    public List<Move> decide(PlacementView view) {
        Planning planning = new Planning(view);
        planning.dropObsolete();
        List<PlacementView.Want> models =
                view.wants().stream().filter(want -> want.base().isEmpty()).toList();
        models.stream()
                .sorted(
                        Comparator.comparingDouble(
                                        (PlacementView.Want want) -> claim(planning, want))
                                .reversed())
                .forEach(want -> place(planning, want));
        return planning.moves();
    }

    /**
     * Who is worth most goes first, whether its first copy is missing or one more: while models
     * that somebody waited for always went first, one asked for 68 times a second got its second
     * copy 4 s after its demand had risen and its third 7 s later (one day, from the log).
     */
    private static double claim(Planning planning, PlacementView.Want want) {
        return CopyWorth.ofNext(planning, want) + want.starvedSeconds();
    }

    private static void place(Planning planning, PlacementView.Want want) {
        if (want.waiting() > 0 && planning.copies(want.artifact()) == 0) {
            serveWaiting(planning, want);
        } else {
            improve(planning, want);
        }
    }

    /** A place that can be made on one seat, and what it costs. */
    private record Place(
            PlacementView.Seat seat,
            List<Artifact> evicted,
            double loss,
            double load,
            double crowd,
            double displaced,
            long blocked,
            boolean fromStore,
            boolean zoneHasIt) {
        double cost() {
            double together = zoneHasIt ? SAME_ZONE_COST : 0;
            double second = LOAD_SECOND_COST * (1 + blocked) + CROWDING_COST * crowd;
            return loss + displaced + together + second * load;
        }
    }

    private static void serveWaiting(Planning planning, PlacementView.Want want) {
        if (planning.planned(want.artifact())) {
            return;
        }
        double worth = CopyWorth.ofCopy(planning, want, 1) + want.starvedSeconds();
        cheapest(planning, want, LEAST_RESIDENCE_WHILE_WAITED_FOR)
                .filter(place -> place.loss() <= worth)
                .ifPresent(place -> take(planning, want, place));
    }

    private static void improve(Planning planning, PlacementView.Want want) {
        double ofCopy = CopyWorth.ofNext(planning, want);
        double ofHome = CopyWorth.ofHome(planning, want);
        if (ofCopy + Math.max(0, ofHome) <= 0) {
            return;
        }
        boolean waited = want.waiting() > 0;
        Optional<Place> best =
                cheapest(
                        planning,
                        want,
                        waited ? LEAST_RESIDENCE_WHILE_WAITED_FOR : LEAST_RESIDENCE);
        if (best.isEmpty()) {
            return;
        }
        Place place = best.get();
        boolean newHome = place.fromStore() && !planning.planned(want.artifact());
        double gain = ofCopy + (newHome ? ofHome : 0);
        if (gain > effort(place)) {
            take(planning, want, place);
        }
    }

    private static double effort(Place place) {
        if (place.fromStore()) {
            return MARGIN * place.loss()
                    + place.displaced()
                    + (1 + CROWDING_COST * place.crowd() + LOAD_SECOND_COST * place.blocked())
                            * place.load();
        }
        if (place.evicted().isEmpty()) {
            return FILL_SECOND_COST * place.load();
        }
        return MARGIN * place.loss() + LOAD_SECOND_COST * place.load();
    }

    private static void take(Planning planning, PlacementView.Want want, Place place) {
        if (place.evicted().isEmpty()) {
            planning.load(place.seat(), want);
        } else {
            planning.replace(place.seat(), place.evicted().getFirst(), want);
        }
    }

    private static Optional<Place> cheapest(
            Planning planning, PlacementView.Want want, Duration residence) {
        Optional<Place> best = Optional.empty();
        boolean fromStore = storeIsFree(planning, want) && !nearSeatIsFreeSoon(planning, want);
        for (PlacementView.Seat seat : planning.view().seats()) {
            if (!planning.available(seat) || seat.holds(want.artifact().id())) {
                continue;
            }
            Optional<Place> place = placeOn(planning, seat, want, residence);
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
    private static boolean nearSeatIsFreeSoon(Planning planning, PlacementView.Want want) {
        if (planning.copies(want.artifact()) > 0) {
            return false;
        }
        ModelId model = want.artifact().id();
        return planning.view().seats().stream()
                .filter(seat -> seat.nearCopies().containsKey(model) && !seat.holds(model))
                .anyMatch(seat -> !planning.available(seat) && !Planning.loadsFromStore(seat));
    }

    private static boolean storeIsFree(Planning planning, PlacementView.Want want) {
        if (planning.loadsLeft() <= 0) {
            return false;
        }
        if (planning.unused()) {
            return true;
        }
        int most = Math.max(1, planning.view().seats().size() / SEATS_PER_STORE_LOAD);
        most *= want.ratePerSecond() >= OFTEN_PER_SECOND ? 2 : 1;
        return planning.storeLoads() < most;
    }

    private static Optional<Place> placeOn(
            Planning planning,
            PlacementView.Seat seat,
            PlacementView.Want want,
            Duration residence) {
        SeatCosts costs = planning.costs(seat);
        long missing = want.memoryMib() - seat.freeMib();
        List<Artifact> evicted = new ArrayList<>();
        double loss = 0;
        for (SeatCosts.Loss candidate : costs.byLoss()) {
            if (missing <= 0) {
                break;
            }
            if (settled(planning, candidate.held(), residence)) {
                evicted.add(candidate.held().artifact());
                missing -= candidate.held().memoryMib();
                loss += candidate.worth();
            }
        }
        if (missing > 0) {
            return Optional.empty();
        }
        ModelId model = want.artifact().id();
        boolean fromStore = !seat.nearCopies().containsKey(model);
        double load = loadSeconds(seat, want);
        double displaced = fromStore ? costs.displaced() : 0;
        long blocked = fromStore ? blocked(planning, seat, evicted) : 0;
        boolean zoneHasIt =
                seat.zone().filter(zone -> planning.homes().servedIn(zone, model)).isPresent();
        return Optional.of(
                new Place(
                        seat,
                        List.copyOf(evicted),
                        loss,
                        load,
                        costs.crowd(),
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
    private static long blocked(
            Planning planning, PlacementView.Seat seat, List<Artifact> evicted) {
        Set<ModelId> here = new HashSet<>(seat.nearCopies().keySet());
        evicted.forEach(artifact -> here.add(artifact.id()));
        seat.held().stream()
                .map(PlacementView.Held::artifact)
                .filter(artifact -> !evicted.contains(artifact))
                .forEach(artifact -> here.remove(artifact.id()));
        return here.stream().filter(model -> !planning.homes().hadWithout(seat, model)).count();
    }

    private static boolean settled(Planning planning, PlacementView.Held held, Duration residence) {
        return planning.view().now() - held.since() >= residence.toNanos();
    }

    private static double loadSeconds(PlacementView.Seat seat, PlacementView.Want want) {
        Duration near = seat.nearCopies().get(want.artifact().id());
        Duration load = near == null ? want.loadFromStore() : near;
        return load.toMillis() / MILLIS_PER_SECOND;
    }
}
