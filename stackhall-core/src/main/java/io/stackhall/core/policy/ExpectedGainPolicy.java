package io.stackhall.core.policy;

import io.stackhall.core.membership.Artifact;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Weighs the requests that a load is expected to serve against those that the evicted artifacts are
 * expected to lose.
 *
 * <p>A model that requests wait for is loaded where the expected loss is least; it is never refused
 * for good, so that every model stays reachable. A further copy must earn its cost by a margin.
 * What has just been loaded stays for a least time, so that two models do not swap for ever. Idle
 * loads only take memory that is free.
 */
public final class ExpectedGainPolicy implements PlacementPolicy {

    private static final double HORIZON_SECONDS = 60;
    private static final double MOVE_COST_REQUESTS = 1;
    private static final double MARGIN = 1.5;
    private static final double SPARE_COPY_LOSS_SHARE = 0.25;
    private static final long LEAST_RESIDENCE_NANOS = Duration.ofSeconds(6).toNanos();

    @Override
    public List<Move> decide(PlacementView view) {
        Planning planning = new Planning(view);
        planning.dropObsolete();
        view.wants().stream()
                .filter(want -> want.waiting() > 0)
                .sorted(Comparator.comparingDouble(ExpectedGainPolicy::valueDensity).reversed())
                .forEach(want -> serveWaiting(planning, want));
        view.wants().stream()
                .filter(want -> planning.copies(want.artifact()) < want.floor())
                .sorted(Comparator.comparingDouble(ExpectedGainPolicy::valueDensity).reversed())
                .forEach(want -> fillFree(planning, want));
        return planning.moves();
    }

    /** A room that can be made on one seat, and what it is expected to cost. */
    private record Room(PlacementView.Seat seat, List<Artifact> evicted, double loss) {}

    private static void serveWaiting(Planning planning, PlacementView.Want want) {
        if (planning.planned(want.artifact())) {
            return;
        }
        long copies = planning.copies(want.artifact());
        Optional<Room> cheapest = cheapestRoom(planning, want);
        if (cheapest.isEmpty() || (copies > 0 && !earns(planning, want, cheapest.get()))) {
            return;
        }
        Room room = cheapest.get();
        if (!room.evicted().isEmpty()) {
            planning.unload(room.seat(), room.evicted().getFirst());
        } else if (planning.loadsLeft()) {
            planning.load(room.seat(), want);
        }
    }

    /** Returns whether a further copy serves enough of the waiting requests to be worth a move. */
    private static boolean earns(Planning planning, PlacementView.Want want, Room room) {
        int slots =
                planning.view().seats().stream()
                        .filter(seat -> seat.holds(want.artifact()))
                        .mapToInt(PlacementView.Seat::slots)
                        .sum();
        double unserved = want.waiting() - slots;
        return unserved > MARGIN * room.loss() + MOVE_COST_REQUESTS;
    }

    private static void fillFree(Planning planning, PlacementView.Want want) {
        if (planning.loadsLeft() && !planning.planned(want.artifact())) {
            StaticPolicy.roomiest(planning, want).ifPresent(seat -> planning.load(seat, want));
        }
    }

    private static Optional<Room> cheapestRoom(Planning planning, PlacementView.Want want) {
        return planning.view().seats().stream()
                .filter(planning::available)
                .filter(seat -> planning.baseReady(seat, want))
                .filter(seat -> !seat.holds(want.artifact()))
                .flatMap(seat -> roomOn(planning, seat, want).stream())
                .min(Comparator.comparingDouble(Room::loss));
    }

    /** Evicts by least loss for each MiB until the artifact fits. */
    private static Optional<Room> roomOn(
            Planning planning, PlacementView.Seat seat, PlacementView.Want want) {
        long missing = want.memoryMib() - seat.freeMib();
        List<PlacementView.Held> candidates =
                seat.held().stream()
                        .filter(held -> evictable(planning, seat, held, want))
                        .sorted(Comparator.comparingDouble(held -> lossDensity(planning, held)))
                        .toList();
        List<Artifact> evicted = new ArrayList<>();
        double loss = 0;
        for (PlacementView.Held held : candidates) {
            if (missing <= 0) {
                break;
            }
            evicted.add(held.artifact());
            missing -= held.memoryMib();
            loss += loss(planning, held);
        }
        return missing <= 0 ? Optional.of(new Room(seat, evicted, loss)) : Optional.empty();
    }

    private static boolean evictable(
            Planning planning,
            PlacementView.Seat seat,
            PlacementView.Held held,
            PlacementView.Want want) {
        boolean isBase =
                want.base().isPresent() && want.base().get().id().equals(held.artifact().id());
        boolean settled = planning.view().now() - held.since() >= LEAST_RESIDENCE_NANOS;
        return !isBase && settled && !planning.carriesAdapters(seat, held.artifact());
    }

    private static double loss(Planning planning, PlacementView.Held held) {
        double expected =
                planning.want(held.artifact().id())
                        .map(want -> value(want) + MOVE_COST_REQUESTS)
                        .orElse(0.0);
        boolean spare = planning.copies(held.artifact()) > 1;
        return spare ? expected * SPARE_COPY_LOSS_SHARE : expected;
    }

    private static double lossDensity(Planning planning, PlacementView.Held held) {
        return loss(planning, held) / Math.max(1, held.memoryMib());
    }

    private static double valueDensity(PlacementView.Want want) {
        return value(want) / Math.max(1, want.memoryMib());
    }

    private static double value(PlacementView.Want want) {
        return want.ratePerSecond() * HORIZON_SECONDS + want.waiting();
    }
}
