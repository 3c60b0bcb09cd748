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
    private static final double LOAD_COST_REQUESTS = 1;
    private static final double GAIN_MARGIN = 1.5;
    private static final double FURTHER_COPY_LOSS_SHARE = 0.25;
    private static final double STARVATION_VALUE_PER_SECOND = 1;

    /** Loads that idle copies leave to requests that may come. */
    private static final int RESERVED_LOADS = 4;

    /** Where not everything fits, what is asked for less often is only loaded on demand. */
    private static final double MIN_IDLE_LOAD_RATE = 0.02;

    private static final long MIN_RESIDENCE_NANOS = Duration.ofSeconds(6).toNanos();

    @Override
    public List<PlacementAction> decide(PlacementView view) {
        PlacementPlan planning = new PlacementPlan(view);
        planning.dropObsolete();
        boolean everythingFits = planning.everythingFits();
        view.deployed().stream()
                .filter(want -> want.waiting() > 0)
                .sorted(Comparator.comparingDouble(ExpectedGainPolicy::valueDensity).reversed())
                .forEach(want -> serveWaiting(planning, want));
        view.deployed().stream()
                .filter(want -> planning.copies(want.artifact()) < want.floor())
                .filter(want -> everythingFits || want.ratePerSecond() > MIN_IDLE_LOAD_RATE)
                .sorted(Comparator.comparingDouble(ExpectedGainPolicy::valueDensity).reversed())
                .forEach(want -> loadIntoFreeMemory(planning, want));
        return planning.actions();
    }

    /** A room that can be made on one seat, and what it is expected to cost. */
    private record LoadOption(PlacementView.Engine seat, List<Artifact> evicted, double loss) {}

    private static void serveWaiting(PlacementPlan planning, PlacementView.DeployedArtifact want) {
        if (planning.hasPendingLoad(want.artifact())) {
            return;
        }
        Optional<LoadOption> cheapest = cheapestOption(planning, want);
        if (cheapest.isEmpty() || !gainsEnough(planning, want, cheapest.get())) {
            return;
        }
        LoadOption room = cheapest.get();
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
    private static boolean gainsEnough(
            PlacementPlan planning, PlacementView.DeployedArtifact want, LoadOption room) {
        if (planning.copies(want.artifact()) == 0) {
            double gain = value(want) + want.starvedSeconds() * STARVATION_VALUE_PER_SECOND;
            return room.evicted().isEmpty() || gain > room.loss();
        }
        int slots =
                planning.view().engines().stream()
                        .filter(seat -> seat.holds(want.artifact()))
                        .mapToInt(PlacementView.Engine::slots)
                        .sum();
        double unserved = want.waiting() - slots;
        return unserved > GAIN_MARGIN * room.loss() + LOAD_COST_REQUESTS;
    }

    private static void loadIntoFreeMemory(
            PlacementPlan planning, PlacementView.DeployedArtifact want) {
        if (planning.loadsLeft() > RESERVED_LOADS && !planning.hasPendingLoad(want.artifact())) {
            StaticPolicy.engineWithMostFreeMemory(planning, want)
                    .ifPresent(seat -> planning.load(seat, want));
        }
    }

    private static Optional<LoadOption> cheapestOption(
            PlacementPlan planning, PlacementView.DeployedArtifact want) {
        return planning.view().engines().stream()
                .filter(planning::available)
                .filter(seat -> planning.baseReady(seat, want))
                .filter(seat -> !seat.holds(want.artifact()))
                .flatMap(seat -> optionOn(planning, seat, want).stream())
                .min(Comparator.comparingDouble(LoadOption::loss));
    }

    /** Evicts by least loss for each MiB until the artifact fits. */
    private static Optional<LoadOption> optionOn(
            PlacementPlan planning,
            PlacementView.Engine seat,
            PlacementView.DeployedArtifact want) {
        long missing = want.memoryMib() - seat.freeMib();
        List<EvictionUnit> candidates =
                seat.resident().stream()
                        .map(held -> evictionUnit(planning, seat, held))
                        .filter(bundle -> evictable(planning, bundle, want))
                        .sorted(Comparator.comparingDouble(EvictionUnit::lossDensity))
                        .toList();
        Set<Artifact> evicted = new LinkedHashSet<>();
        double loss = 0;
        for (EvictionUnit bundle : candidates) {
            for (PlacementView.ResidentArtifact held : bundle.inOrder()) {
                if (missing > 0 && evicted.add(held.artifact())) {
                    missing -= held.memoryMib();
                    loss += loss(planning, held);
                }
            }
        }
        return missing <= 0
                ? Optional.of(new LoadOption(seat, List.copyOf(evicted), loss))
                : Optional.empty();
    }

    /**
     * What goes together: an artifact, and before it the adapters that it carries.
     *
     * @param inOrder the order of eviction
     * @param lossDensity the expected loss for each MiB
     */
    private record EvictionUnit(List<PlacementView.ResidentArtifact> inOrder, double lossDensity) {}

    private static EvictionUnit evictionUnit(
            PlacementPlan planning,
            PlacementView.Engine seat,
            PlacementView.ResidentArtifact held) {
        List<PlacementView.ResidentArtifact> inOrder =
                new ArrayList<>(planning.adaptersOn(seat, held.artifact()));
        inOrder.add(held);
        double loss = inOrder.stream().mapToDouble(item -> loss(planning, item)).sum();
        long memoryMib =
                inOrder.stream().mapToLong(PlacementView.ResidentArtifact::memoryMib).sum();
        return new EvictionUnit(inOrder, loss / Math.max(1, memoryMib));
    }

    private static boolean evictable(
            PlacementPlan planning, EvictionUnit bundle, PlacementView.DeployedArtifact want) {
        PlacementView.ResidentArtifact last = bundle.inOrder().getLast();
        boolean isBase =
                want.base().isPresent() && want.base().get().id().equals(last.artifact().id());
        boolean settled =
                bundle.inOrder().stream()
                        .allMatch(
                                held ->
                                        planning.view().now() - held.since()
                                                >= MIN_RESIDENCE_NANOS);
        return !isBase && settled;
    }

    private static double loss(PlacementPlan planning, PlacementView.ResidentArtifact held) {
        double expected =
                planning.deployed(held.artifact().id())
                        .map(want -> value(want) + LOAD_COST_REQUESTS)
                        .orElse(0.0);
        boolean spare = planning.copies(held.artifact()) > 1;
        return spare ? expected * FURTHER_COPY_LOSS_SHARE : expected;
    }

    private static double valueDensity(PlacementView.DeployedArtifact want) {
        return value(want) / Math.max(1, want.memoryMib());
    }

    private static double value(PlacementView.DeployedArtifact want) {
        return want.ratePerSecond() * HORIZON_SECONDS + want.waiting();
    }
}
