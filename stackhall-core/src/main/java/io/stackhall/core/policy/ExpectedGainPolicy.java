package io.stackhall.core.policy;

import io.stackhall.core.membership.Artifact;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

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
    private static final double STARVED_REQUESTS_PER_SECOND = 1;

    /** Loads that idle copies leave to requests that may come. */
    private static final int SPARED_LOADS = 4;

    /** Where not everything fits, what is asked for less often is only loaded on demand. */
    private static final double IDLE_RATE = 0.02;

    private static final long LEAST_RESIDENCE_NANOS = Duration.ofSeconds(6).toNanos();

    @Override
    public List<Move> decide(PlacementView view) {
        Planning planning = new Planning(view);
        planning.dropObsolete();
        boolean everythingFits = planning.everythingFits();
        view.wants().stream()
                .filter(want -> want.waiting() > 0)
                .sorted(Comparator.comparingDouble(ExpectedGainPolicy::valueDensity).reversed())
                .forEach(want -> serveWaiting(planning, want));
        view.wants().stream()
                .filter(want -> planning.copies(want.artifact()) < want.floor())
                .filter(want -> everythingFits || want.ratePerSecond() > IDLE_RATE)
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
        Optional<Room> cheapest = cheapestRoom(planning, want);
        if (cheapest.isEmpty() || !earns(planning, want, cheapest.get())) {
            return;
        }
        Room room = cheapest.get();
        if (!room.evicted().isEmpty()) {
            planning.unload(room.seat(), room.evicted().getFirst());
        } else if (planning.loadsLeft() > 0) {
            planning.load(room.seat(), want);
        }
    }

    /**
     * Returns whether a load is worth what it evicts. A model that is nowhere gains weight as it
     * starves, so that it is loaded in the end however little it is asked for; a further copy must
     * earn its cost by a margin.
     */
    private static boolean earns(Planning planning, PlacementView.Want want, Room room) {
        if (planning.copies(want.artifact()) == 0) {
            double gain = value(want) + want.starvedSeconds() * STARVED_REQUESTS_PER_SECOND;
            return room.evicted().isEmpty() || gain > room.loss();
        }
        int slots =
                planning.view().seats().stream()
                        .filter(seat -> seat.holds(want.artifact()))
                        .mapToInt(PlacementView.Seat::slots)
                        .sum();
        double unserved = want.waiting() - slots;
        return unserved > MARGIN * room.loss() + MOVE_COST_REQUESTS;
    }

    private static void fillFree(Planning planning, PlacementView.Want want) {
        if (planning.loadsLeft() > SPARED_LOADS && !planning.planned(want.artifact())) {
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
        List<Bundle> candidates =
                seat.held().stream()
                        .map(held -> bundle(planning, seat, held))
                        .filter(bundle -> evictable(planning, bundle, want))
                        .sorted(Comparator.comparingDouble(Bundle::lossDensity))
                        .toList();
        Set<Artifact> evicted = new LinkedHashSet<>();
        double loss = 0;
        for (Bundle bundle : candidates) {
            for (PlacementView.Held held : bundle.inOrder()) {
                if (missing > 0 && evicted.add(held.artifact())) {
                    missing -= held.memoryMib();
                    loss += loss(planning, held);
                }
            }
        }
        return missing <= 0
                ? Optional.of(new Room(seat, List.copyOf(evicted), loss))
                : Optional.empty();
    }

    /**
     * What goes together: an artifact, and before it the adapters that it carries.
     *
     * @param inOrder the order of eviction
     * @param lossDensity the expected loss for each MiB
     */
    private record Bundle(List<PlacementView.Held> inOrder, double lossDensity) {}

    private static Bundle bundle(
            Planning planning, PlacementView.Seat seat, PlacementView.Held held) {
        List<PlacementView.Held> inOrder =
                new ArrayList<>(planning.adaptersOn(seat, held.artifact()));
        inOrder.add(held);
        double loss = inOrder.stream().mapToDouble(item -> loss(planning, item)).sum();
        long memoryMib = inOrder.stream().mapToLong(PlacementView.Held::memoryMib).sum();
        return new Bundle(inOrder, loss / Math.max(1, memoryMib));
    }

    private static boolean evictable(Planning planning, Bundle bundle, PlacementView.Want want) {
        PlacementView.Held last = bundle.inOrder().getLast();
        boolean isBase =
                want.base().isPresent() && want.base().get().id().equals(last.artifact().id());
        boolean settled =
                bundle.inOrder().stream()
                        .allMatch(
                                held ->
                                        planning.view().now() - held.since()
                                                >= LEAST_RESIDENCE_NANOS);
        return !isBase && settled;
    }

    private static double loss(Planning planning, PlacementView.Held held) {
        double expected =
                planning.want(held.artifact().id())
                        .map(want -> value(want) + MOVE_COST_REQUESTS)
                        .orElse(0.0);
        boolean spare = planning.copies(held.artifact()) > 1;
        return spare ? expected * SPARE_COPY_LOSS_SHARE : expected;
    }

    private static double valueDensity(PlacementView.Want want) {
        return value(want) / Math.max(1, want.memoryMib());
    }

    private static double value(PlacementView.Want want) {
        return want.ratePerSecond() * HORIZON_SECONDS + want.waiting();
    }
}
