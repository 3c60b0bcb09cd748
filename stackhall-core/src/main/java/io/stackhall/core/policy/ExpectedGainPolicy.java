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
 * Compares the requests that a load is expected to serve with those that its evictions are expected
 * to lose.
 *
 * <p>A model with waiting requests is loaded where the expected loss is least. It is loaded in the
 * end however small its demand, so that every model stays reachable. A further copy must gain more
 * than its cost by a margin. A loaded artifact stays for a minimum time, so that two models do not
 * evict each other endlessly. Loads without waiting requests only use free memory.
 */
public final class ExpectedGainPolicy implements PlacementPolicy {

    /** Requests that arrive within this time count towards the value of an artifact. */
    private static final double HORIZON_SECONDS = 60;

    /** Cost of a load, as a number of requests. */
    private static final double LOAD_COST_REQUESTS = 1;

    /** Factor by which a further copy must gain more than its evictions lose. */
    private static final double GAIN_MARGIN = 1.5;

    /** Fraction of the loss that counts where another copy stays resident. */
    private static final double FURTHER_COPY_LOSS_SHARE = 0.25;

    /** Value gained per second by an artifact that is requested and resident nowhere. */
    private static final double STARVATION_VALUE_PER_SECOND = 1;

    /** Loads from the store that are kept available for requests that may arrive. */
    private static final int RESERVED_LOADS = 4;

    /**
     * If the deployment does not fit into memory, artifacts with fewer requests per second are
     * loaded only on demand.
     */
    private static final double MIN_IDLE_LOAD_RATE = 0.02;

    /** An artifact is not evicted until it has been resident for this long. */
    private static final long MIN_RESIDENCE_NANOS = Duration.ofSeconds(6).toNanos();

    @Override
    public List<PlacementAction> decide(PlacementView view) {
        PlacementPlan plan = new PlacementPlan(view);
        plan.dropObsolete();
        boolean everythingFits = plan.everythingFits();
        view.deployed().stream()
                .filter(deployed -> deployed.waiting() > 0)
                .sorted(Comparator.comparingDouble(ExpectedGainPolicy::valueDensity).reversed())
                .forEach(deployed -> serveWaiting(plan, deployed));
        view.deployed().stream()
                .filter(deployed -> plan.copies(deployed.artifact()) < deployed.floor())
                .filter(deployed -> everythingFits || deployed.ratePerSecond() > MIN_IDLE_LOAD_RATE)
                .sorted(Comparator.comparingDouble(ExpectedGainPolicy::valueDensity).reversed())
                .forEach(deployed -> loadIntoFreeMemory(plan, deployed));
        return plan.actions();
    }

    /** A possible load on one engine: the evictions it needs and their expected loss. */
    private record LoadOption(PlacementView.Engine engine, List<Artifact> evicted, double loss) {}

    private static void serveWaiting(PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        if (plan.hasPendingLoad(deployed.artifact())) {
            return;
        }
        Optional<LoadOption> cheapest = cheapestOption(plan, deployed);
        if (cheapest.isEmpty() || !gainsEnough(plan, deployed, cheapest.get())) {
            return;
        }
        LoadOption option = cheapest.get();
        if (!option.evicted().isEmpty()) {
            plan.unload(option.engine(), option.evicted().getFirst());
        } else if (plan.loadsLeft() > 0) {
            plan.load(option.engine(), deployed);
        }
    }

    /**
     * Returns whether a load gains more than its evictions lose. The gain of a model that is
     * resident nowhere grows with the time it is starved, so that it is loaded in the end however
     * small its demand; a further copy must gain more than its cost by a margin.
     */
    private static boolean gainsEnough(
            PlacementPlan plan, PlacementView.DeployedArtifact deployed, LoadOption option) {
        if (plan.copies(deployed.artifact()) == 0) {
            double gain = value(deployed) + deployed.starvedSeconds() * STARVATION_VALUE_PER_SECOND;
            return option.evicted().isEmpty() || gain > option.loss();
        }
        int slots =
                plan.view().engines().stream()
                        .filter(engine -> engine.holds(deployed.artifact()))
                        .mapToInt(PlacementView.Engine::slots)
                        .sum();
        double unserved = deployed.waiting() - slots;
        return unserved > GAIN_MARGIN * option.loss() + LOAD_COST_REQUESTS;
    }

    private static void loadIntoFreeMemory(
            PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        if (plan.loadsLeft() > RESERVED_LOADS && !plan.hasPendingLoad(deployed.artifact())) {
            StaticPolicy.engineWithMostFreeMemory(plan, deployed)
                    .ifPresent(engine -> plan.load(engine, deployed));
        }
    }

    private static Optional<LoadOption> cheapestOption(
            PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        return plan.view().engines().stream()
                .filter(plan::available)
                .filter(engine -> plan.baseReady(engine, deployed))
                .filter(engine -> !engine.holds(deployed.artifact()))
                .flatMap(engine -> optionOn(plan, engine, deployed).stream())
                .min(Comparator.comparingDouble(LoadOption::loss));
    }

    /** Selects evictions by least loss per MiB until the artifact fits. */
    private static Optional<LoadOption> optionOn(
            PlacementPlan plan,
            PlacementView.Engine engine,
            PlacementView.DeployedArtifact deployed) {
        long missingMib = deployed.memoryMib() - engine.freeMib();
        List<EvictionUnit> candidates =
                engine.resident().stream()
                        .map(resident -> evictionUnit(plan, engine, resident))
                        .filter(unit -> evictable(plan, unit, deployed))
                        .sorted(Comparator.comparingDouble(EvictionUnit::lossDensity))
                        .toList();
        Set<Artifact> evicted = new LinkedHashSet<>();
        double loss = 0;
        for (EvictionUnit unit : candidates) {
            for (PlacementView.ResidentArtifact resident : unit.inOrder()) {
                if (missingMib > 0 && evicted.add(resident.artifact())) {
                    missingMib -= resident.memoryMib();
                    loss += loss(plan, resident);
                }
            }
        }
        return missingMib <= 0
                ? Optional.of(new LoadOption(engine, List.copyOf(evicted), loss))
                : Optional.empty();
    }

    /**
     * Artifacts that are evicted together: a model, and before it the adapters that depend on it.
     *
     * @param inOrder the order of eviction
     * @param lossDensity the expected loss per MiB
     */
    private record EvictionUnit(List<PlacementView.ResidentArtifact> inOrder, double lossDensity) {}

    private static EvictionUnit evictionUnit(
            PlacementPlan plan,
            PlacementView.Engine engine,
            PlacementView.ResidentArtifact resident) {
        List<PlacementView.ResidentArtifact> inOrder =
                new ArrayList<>(plan.adaptersOn(engine, resident.artifact()));
        inOrder.add(resident);
        double loss = inOrder.stream().mapToDouble(item -> loss(plan, item)).sum();
        long memoryMib =
                inOrder.stream().mapToLong(PlacementView.ResidentArtifact::memoryMib).sum();
        return new EvictionUnit(inOrder, loss / Math.max(1, memoryMib));
    }

    private static boolean evictable(
            PlacementPlan plan, EvictionUnit unit, PlacementView.DeployedArtifact deployed) {
        PlacementView.ResidentArtifact last = unit.inOrder().getLast();
        boolean isBase =
                deployed.base().isPresent()
                        && deployed.base().get().id().equals(last.artifact().id());
        boolean settled =
                unit.inOrder().stream()
                        .allMatch(
                                resident ->
                                        plan.view().now() - resident.since()
                                                >= MIN_RESIDENCE_NANOS);
        return !isBase && settled;
    }

    private static double loss(PlacementPlan plan, PlacementView.ResidentArtifact resident) {
        double expected =
                plan.deployed(resident.artifact().id())
                        .map(deployed -> value(deployed) + LOAD_COST_REQUESTS)
                        .orElse(0.0);
        boolean spare = plan.copies(resident.artifact()) > 1;
        return spare ? expected * FURTHER_COPY_LOSS_SHARE : expected;
    }

    private static double valueDensity(PlacementView.DeployedArtifact deployed) {
        return value(deployed) / Math.max(1, deployed.memoryMib());
    }

    private static double value(PlacementView.DeployedArtifact deployed) {
        return deployed.ratePerSecond() * HORIZON_SECONDS + deployed.waiting();
    }
}
