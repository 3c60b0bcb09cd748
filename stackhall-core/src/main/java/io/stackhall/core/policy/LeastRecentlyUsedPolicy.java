package io.stackhall.core.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A baseline: loads an artifact when a request misses it, and makes room by evicting whatever was
 * used longest ago.
 */
public final class LeastRecentlyUsedPolicy implements PlacementPolicy {

    @Override
    public List<Move> decide(PlacementView view) {
        Planning planning = new Planning(view);
        planning.dropObsolete();
        view.wants().stream()
                .filter(want -> want.waiting() > 0 && planning.copies(want.artifact()) == 0)
                .sorted(Comparator.comparingInt(PlacementView.Want::waiting).reversed())
                .forEach(want -> serve(planning, want));
        return planning.moves();
    }

    private static void serve(Planning planning, PlacementView.Want want) {
        if (planning.planned(want.artifact())) {
            return;
        }
        Optional<PlacementView.Seat> room = StaticPolicy.roomiest(planning, want);
        if (room.isPresent()) {
            if (planning.loadsLeft() > 0) {
                planning.load(room.get(), want);
            }
            return;
        }
        evict(planning, want);
    }

    private static void evict(Planning planning, PlacementView.Want want) {
        planning.view().seats().stream()
                .filter(planning::available)
                .filter(seat -> planning.baseReady(seat, want))
                .filter(seat -> seat.freeMib() + heldMib(seat, want) >= want.memoryMib())
                .min(Comparator.comparingLong(seat -> oldestUse(planning, seat, want)))
                .ifPresent(
                        seat ->
                                oldest(planning, seat, want)
                                        .ifPresent(held -> planning.unload(seat, held.artifact())));
    }

    private static long heldMib(PlacementView.Seat seat, PlacementView.Want want) {
        return seat.held().stream()
                .filter(held -> !isBase(held, want))
                .mapToLong(PlacementView.Held::memoryMib)
                .sum();
    }

    private static long oldestUse(
            Planning planning, PlacementView.Seat seat, PlacementView.Want want) {
        return oldest(planning, seat, want)
                .map(held -> lastUsed(planning, held))
                .orElse(Long.MAX_VALUE);
    }

    private static Optional<PlacementView.Held> oldest(
            Planning planning, PlacementView.Seat seat, PlacementView.Want want) {
        return seat.held().stream()
                .filter(held -> !isBase(held, want))
                .filter(held -> !planning.carriesAdapters(seat, held.artifact()))
                .min(Comparator.comparingLong(held -> lastUsed(planning, held)));
    }

    private static boolean isBase(PlacementView.Held held, PlacementView.Want want) {
        return want.base().isPresent() && want.base().get().id().equals(held.artifact().id());
    }

    private static long lastUsed(Planning planning, PlacementView.Held held) {
        return planning.want(held.artifact().id())
                .map(PlacementView.Want::lastUsed)
                .orElse(Long.MIN_VALUE);
    }
}
