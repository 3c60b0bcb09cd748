package io.stackhall.core.policy;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.membership.Artifact;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Gives each place to the model whose next copy is worth most there, and loads a model where its
 * weights are nearest at hand.
 *
 * <p>A model's first copy is worth its whole demand, each further one only what it relieves. A
 * model that requests wait for and that is nowhere is loaded first, wherever the load's time and
 * what it evicts cost least together. Other loads have to earn more than they evict by a margin, so
 * that two models do not swap for ever.
 */
public final class NearestCopyPolicy implements PlacementPolicy {

    /** The worth of a first copy, for each request a second. */
    private static final double FIRST_COPY_WORTH = 10;

    /** Even a model that nobody asks for keeps one place rather than none. */
    private static final double IDLE_COPY_WORTH = 0.2;

    /** Where one engine alone keeps the weights at hand, it may be busy when they are asked for. */
    private static final double RARE_COPY_WORTH = 1.5;

    /** Requests a second that one copy serves without delaying them much. */
    private static final double COMFORTABLE_RATE = 8;

    /** The worth of a second copy, for each request a second, where one copy is fully loaded. */
    private static final double RELIEF_WORTH = 6;

    /** What a second of loading costs: the engine takes no other order meanwhile. */
    private static final double LOAD_SECOND_COST = 0.6;

    /** What a load that is not yet waited for must earn beyond what it evicts. */
    private static final double MARGIN = 1.5;

    private static final double SWAP_COST = 1.0;

    /** A copy that has just come stays for as long as its load may take to pay. */
    private static final Duration LEAST_RESIDENCE = Duration.ofSeconds(3);

    /** A model whose weights no engine keeps at hand cannot be served within a deadline at all. */
    private static final double AT_HAND_WORTH = 20;

    /**
     * Engines that load from the weight store take no other order for that long: at most a third.
     */
    private static final int SEATS_PER_STORE_LOAD = 3;

    private static final double STORE_SECONDS = 9;
    private static final double NANOS_PER_SECOND = 1e9;

    @Override
    public List<Move> decide(PlacementView view) {
        Planning planning = new Planning(view);
        planning.dropObsolete();
        view.wants().stream()
                .filter(want -> want.base().isEmpty())
                .filter(want -> want.waiting() > 0 && planning.copies(want.artifact()) == 0)
                .sorted(Comparator.comparingDouble(NearestCopyPolicy::urgency).reversed())
                .forEach(want -> serveWaiting(planning, want));
        view.wants().stream()
                .filter(want -> want.base().isEmpty())
                .sorted(
                        Comparator.comparingDouble(
                                        (PlacementView.Want want) -> nextWorth(planning, want))
                                .reversed())
                .forEach(want -> improve(planning, want));
        return planning.moves();
    }

    /** A place that can be made on one seat, and what it costs. */
    private record Place(
            PlacementView.Seat seat, List<Artifact> evicted, double loss, double load) {
        double cost() {
            return loss + LOAD_SECOND_COST * load;
        }
    }

    private static void serveWaiting(Planning planning, PlacementView.Want want) {
        if (planning.planned(want.artifact())) {
            return;
        }
        cheapest(planning, want, Duration.ZERO).ifPresent(place -> take(planning, want, place));
    }

    private static void improve(Planning planning, PlacementView.Want want) {
        if (planning.planned(want.artifact())) {
            return;
        }
        Optional<Place> place = cheapest(planning, want, LEAST_RESIDENCE);
        if (place.isEmpty()) {
            return;
        }
        double gain = nextWorth(planning, want);
        gain += atHand(planning, want) ? 0 : AT_HAND_WORTH;
        double needed = place.get().evicted().isEmpty() ? 0 : MARGIN * place.get().loss();
        if (gain > needed + SWAP_COST * place.get().load()) {
            take(planning, want, place.get());
        }
    }

    private static void take(Planning planning, PlacementView.Want want, Place place) {
        if (!place.evicted().isEmpty()) {
            planning.unload(place.seat(), place.evicted().getFirst());
        } else {
            planning.load(place.seat(), want);
        }
    }

    private static Optional<Place> cheapest(
            Planning planning, PlacementView.Want want, Duration residence) {
        Optional<Place> best = Optional.empty();
        for (PlacementView.Seat seat : planning.view().seats()) {
            if (!planning.available(seat) || seat.holds(want.artifact().id())) {
                continue;
            }
            Optional<Place> place = placeOn(planning, seat, want, residence);
            boolean fromStore = place.isPresent() && place.get().load() >= STORE_SECONDS;
            boolean nearer = fromStore && nearSeatIsFreeSoon(planning, want);
            if (place.isEmpty() || nearer || (fromStore && !storeIsFree(planning))) {
                continue;
            }
            if (best.isEmpty() || place.get().cost() < best.get().cost()) {
                best = place;
            }
        }
        return best;
    }

    /** A seat that loads from a copy at hand, or unloads, is free again within 2.3 s or less. */
    private static boolean nearSeatIsFreeSoon(Planning planning, PlacementView.Want want) {
        ModelId model = want.artifact().id();
        return planning.view().seats().stream()
                .filter(seat -> seat.nearCopies().containsKey(model))
                .anyMatch(seat -> !planning.available(seat) && !loadsFromStore(seat));
    }

    private static boolean loadsFromStore(PlacementView.Seat seat) {
        return seat.loading().isPresent()
                && !seat.nearCopies().containsKey(seat.loading().get().id());
    }

    private static boolean storeIsFree(Planning planning) {
        List<PlacementView.Seat> seats = planning.view().seats();
        long loading = seats.stream().filter(NearestCopyPolicy::loadsFromStore).count();
        int most = Math.max(1, seats.size() / SEATS_PER_STORE_LOAD);
        return planning.loadsLeft() > 0 && loading < most;
    }

    private static boolean atHand(Planning planning, PlacementView.Want want) {
        ModelId model = want.artifact().id();
        return planning.view().seats().stream()
                .anyMatch(seat -> seat.holds(model) || seat.nearCopies().containsKey(model));
    }

    private static Optional<Place> placeOn(
            Planning planning,
            PlacementView.Seat seat,
            PlacementView.Want want,
            Duration residence) {
        double load = loadSeconds(seat, want.artifact().id());
        long missing = want.memoryMib() - seat.freeMib();
        List<PlacementView.Held> candidates =
                seat.held().stream()
                        .filter(held -> settled(planning, held, residence))
                        .sorted(Comparator.comparingDouble(held -> lastWorth(planning, held)))
                        .toList();
        List<Artifact> evicted = new ArrayList<>();
        double loss = 0;
        for (PlacementView.Held held : candidates) {
            if (missing <= 0) {
                break;
            }
            evicted.add(held.artifact());
            missing -= held.memoryMib();
            loss += lastWorth(planning, held);
        }
        return missing <= 0
                ? Optional.of(new Place(seat, List.copyOf(evicted), loss, load))
                : Optional.empty();
    }

    private static boolean settled(Planning planning, PlacementView.Held held, Duration residence) {
        return planning.view().now() - held.since() >= residence.toNanos();
    }

    private static double urgency(PlacementView.Want want) {
        return want.waiting() + want.starvedSeconds();
    }

    /** Returns what one more copy is worth. */
    private static double nextWorth(Planning planning, PlacementView.Want want) {
        return worth(want, planning.copies(want.artifact()) + 1);
    }

    /** Returns what is lost with one of the copies there are. */
    private static double lastWorth(Planning planning, PlacementView.Held held) {
        Optional<PlacementView.Want> want = planning.want(held.artifact().id());
        if (want.isEmpty()) {
            return 0;
        }
        int copies = Math.max(1, planning.copies(held.artifact()));
        boolean rare = copies == 1 && nearSeats(planning, held.artifact().id()) <= 1;
        return worth(want.get(), copies)
                + recency(planning, want.get())
                + (rare ? RARE_COPY_WORTH : 0);
    }

    private static long nearSeats(Planning planning, ModelId model) {
        return planning.view().seats().stream()
                .filter(seat -> seat.nearCopies().containsKey(model))
                .count();
    }

    private static double worth(PlacementView.Want want, int copy) {
        if (copy <= 1) {
            return FIRST_COPY_WORTH * want.ratePerSecond() + IDLE_COPY_WORTH + want.waiting();
        }
        double loaded = want.ratePerSecond() / COMFORTABLE_RATE;
        return RELIEF_WORTH * want.ratePerSecond() * loaded / ((copy - 1) * copy / 2.0);
    }

    /** Among equals the one asked for longest ago goes first. */
    private static double recency(Planning planning, PlacementView.Want want) {
        double seconds = (planning.view().now() - want.lastUsed()) / NANOS_PER_SECOND;
        return 0.1 / (1 + Math.max(0, seconds));
    }

    private static double loadSeconds(PlacementView.Seat seat, ModelId model) {
        Duration near = seat.nearCopies().get(model);
        return near == null ? STORE_SECONDS : near.toMillis() / 1000.0;
    }
}
