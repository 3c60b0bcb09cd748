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
 * Uses memory for the model whose next copy has the highest value, and loads a model where its
 * weights are nearest: from local weights rather than from the weight store.
 *
 * <p>The value of a model's first copy reflects its whole demand, that of each further copy the
 * queueing that it relieves. A model with waiting requests that is resident nowhere is loaded where
 * load time and evictions cost least together. Free memory is filled from local weights with the
 * most valuable model, so that an engine that restarted empty serves again. Where memory has to be
 * freed, the unload is followed by the load that needs it; such a replacement has to gain more than
 * it evicts by a margin, so that two models do not evict each other endlessly.
 */
public final class NearestCopyPolicy implements PlacementPolicy {

    /** Cost of a second of loading, during which the engine takes no other order. */
    private static final double LOAD_SECOND_COST = 0.3;

    /** Cost of a second of loading from local weights into free memory. */
    private static final double LOCAL_FILL_SECOND_COST = 0.05;

    /**
     * Factor by which the gain of a load must exceed the value of its evictions, except for a first
     * copy that requests wait for.
     */
    private static final double GAIN_MARGIN = 1.5;

    /**
     * Cost of a second of loading, per request per second that the engine already serves: meanwhile
     * no adapter can be loaded for these requests. In one run a load of another model from the
     * store kept an engine with a busy model from loading adapters for 9 s, and 20 requests were
     * refused.
     */
    private static final double SERVED_RATE_COST = 0.2;

    /** A new copy stays at least this long, the time in which its load may pay off. */
    private static final Duration MIN_RESIDENCE = Duration.ofSeconds(4);

    /**
     * The minimum residence where requests wait for the model to load: requests for the copy that
     * was loaded last still need time to be sent.
     */
    private static final Duration MIN_RESIDENCE_WITH_REQUESTS_WAITING = Duration.ofMillis(1500);

    /**
     * Cost of a further copy in a zone that already serves the model: a copy in another zone still
     * serves when one of the two is cut off.
     */
    private static final double SAME_ZONE_COST = 2;

    /**
     * Engines that load from the weight store take no other order meanwhile. One engine in this
     * many may do so at a time, and twice as many for models with frequent requests: in one run
     * without failures two loads of rarely requested models delayed the second copy of the busiest
     * model by 9 s. Loads of the same decision count too: seven that began together on thirteen
     * engines left a model with growing demand without any copy for 6 s. Before the first request
     * all engines may load, so that weights are in more locations when demand begins.
     */
    private static final int ENGINES_PER_STORE_LOAD = 3;

    /** From this rate on, a model may use twice as many concurrent loads from the store. */
    private static final double FREQUENT_REQUESTS_PER_SECOND = 2;

    private static final double MILLIS_PER_SECOND = 1000;

    @Override
    public List<PlacementAction> decide(PlacementView view) {
        PlacementPlan plan = new PlacementPlan(view);
        plan.dropObsolete();
        List<PlacementView.DeployedArtifact> models =
                view.deployed().stream().filter(deployed -> deployed.base().isEmpty()).toList();
        models.stream()
                .sorted(
                        Comparator.comparingDouble(
                                        (PlacementView.DeployedArtifact deployed) ->
                                                rank(plan, deployed))
                                .reversed())
                .forEach(deployed -> place(plan, deployed));
        return plan.actions();
    }

    /**
     * Returns the rank of a model: the highest value goes first, for a first copy as for further
     * ones. When models with waiting requests always went first, a model with 68 requests per
     * second got its second copy only 4 s after its demand had risen, and its third 7 s later.
     */
    private static double rank(PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        return CopyValue.ofNextCopy(plan, deployed) + deployed.starvedSeconds();
    }

    private static void place(PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        if (deployed.waiting() > 0 && plan.copies(deployed.artifact()) == 0) {
            serveWaiting(plan, deployed);
        } else {
            addCopy(plan, deployed);
        }
    }

    /**
     * A possible load on one engine, and what it costs.
     *
     * @param evicted the artifacts to evict first
     * @param loss the value that these evictions lose
     * @param servedRate requests per second that the engine already serves
     * @param displacementCost cost of the local weights that the load displaces
     * @param blockedModels models that cannot be served while the engine loads
     * @param servedInZone whether the engine's zone already serves the model
     */
    private record LoadOption(
            PlacementView.Engine engine,
            List<Artifact> evicted,
            double loss,
            double loadSeconds,
            double servedRate,
            double displacementCost,
            long blockedModels,
            boolean fromStore,
            boolean servedInZone) {
        double cost() {
            double sameZone = servedInZone ? SAME_ZONE_COST : 0;
            double perSecond =
                    LOAD_SECOND_COST * (1 + blockedModels) + SERVED_RATE_COST * servedRate;
            return loss + displacementCost + sameZone + perSecond * loadSeconds;
        }
    }

    private static void serveWaiting(PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        if (plan.hasPendingLoad(deployed.artifact())) {
            return;
        }
        double value = CopyValue.ofCopy(plan, deployed, 1) + deployed.starvedSeconds();
        cheapestOption(plan, deployed, MIN_RESIDENCE_WITH_REQUESTS_WAITING)
                .filter(option -> option.loss() <= value)
                .ifPresent(option -> plan(plan, deployed, option));
    }

    private static void addCopy(PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        double ofCopy = CopyValue.ofNextCopy(plan, deployed);
        double ofLocation = CopyValue.ofWeightLocation(plan, deployed);
        if (ofCopy + Math.max(0, ofLocation) <= 0) {
            return;
        }
        boolean requestsWait = deployed.waiting() > 0;
        Optional<LoadOption> best =
                cheapestOption(
                        plan,
                        deployed,
                        requestsWait ? MIN_RESIDENCE_WITH_REQUESTS_WAITING : MIN_RESIDENCE);
        if (best.isEmpty()) {
            return;
        }
        LoadOption option = best.get();
        boolean newLocation = option.fromStore() && !plan.hasPendingLoad(deployed.artifact());
        double gain = ofCopy + (newLocation ? ofLocation : 0);
        if (gain > requiredGain(option)) {
            plan(plan, deployed, option);
        }
    }

    private static double requiredGain(LoadOption option) {
        if (option.fromStore()) {
            return GAIN_MARGIN * option.loss()
                    + option.displacementCost()
                    + (1
                                    + SERVED_RATE_COST * option.servedRate()
                                    + LOAD_SECOND_COST * option.blockedModels())
                            * option.loadSeconds();
        }
        if (option.evicted().isEmpty()) {
            return LOCAL_FILL_SECOND_COST * option.loadSeconds();
        }
        return GAIN_MARGIN * option.loss() + LOAD_SECOND_COST * option.loadSeconds();
    }

    private static void plan(
            PlacementPlan plan, PlacementView.DeployedArtifact deployed, LoadOption option) {
        if (option.evicted().isEmpty()) {
            plan.load(option.engine(), deployed);
        } else {
            plan.replace(option.engine(), option.evicted().getFirst(), deployed);
        }
    }

    private static Optional<LoadOption> cheapestOption(
            PlacementPlan plan, PlacementView.DeployedArtifact deployed, Duration residence) {
        Optional<LoadOption> best = Optional.empty();
        boolean fromStore =
                mayLoadFromStore(plan, deployed) && !localEngineIsFreeSoon(plan, deployed);
        for (PlacementView.Engine engine : plan.view().engines()) {
            if (!plan.available(engine) || engine.holds(deployed.artifact().id())) {
                continue;
            }
            Optional<LoadOption> option = optionOn(plan, engine, deployed, residence);
            if (option.isEmpty() || (option.get().fromStore() && !fromStore)) {
                continue;
            }
            if (best.isEmpty() || option.get().cost() < best.get().cost()) {
                best = option;
            }
        }
        return best;
    }

    /**
     * Returns whether an engine with local weights is about to become free. An engine that loads
     * from local weights, or unloads, is free again within 2.3 s. A first copy waits for that; a
     * further one does not, as it is needed on another engine.
     */
    private static boolean localEngineIsFreeSoon(
            PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        if (plan.copies(deployed.artifact()) > 0) {
            return false;
        }
        ModelId model = deployed.artifact().id();
        return plan.view().engines().stream()
                .filter(
                        engine ->
                                engine.localLoadTimes().containsKey(model) && !engine.holds(model))
                .anyMatch(
                        engine -> !plan.available(engine) && !PlacementPlan.loadsFromStore(engine));
    }

    private static boolean mayLoadFromStore(
            PlacementPlan plan, PlacementView.DeployedArtifact deployed) {
        if (plan.loadsLeft() <= 0) {
            return false;
        }
        if (plan.noneRequestedYet()) {
            return true;
        }
        int maxLoads = Math.max(1, plan.view().engines().size() / ENGINES_PER_STORE_LOAD);
        maxLoads *= deployed.ratePerSecond() >= FREQUENT_REQUESTS_PER_SECOND ? 2 : 1;
        return plan.storeLoads() < maxLoads;
    }

    private static Optional<LoadOption> optionOn(
            PlacementPlan plan,
            PlacementView.Engine engine,
            PlacementView.DeployedArtifact deployed,
            Duration residence) {
        EngineCosts costs = plan.costs(engine);
        long missingMib = deployed.memoryMib() - engine.freeMib();
        List<Artifact> evicted = new ArrayList<>();
        double loss = 0;
        for (EngineCosts.EvictionCandidate candidate : costs.evictionCandidates()) {
            if (missingMib <= 0) {
                break;
            }
            if (evictable(plan, candidate.resident(), residence)) {
                evicted.add(candidate.resident().artifact());
                missingMib -= candidate.resident().memoryMib();
                loss += candidate.value();
            }
        }
        if (missingMib > 0) {
            return Optional.empty();
        }
        ModelId model = deployed.artifact().id();
        boolean fromStore = !engine.localLoadTimes().containsKey(model);
        double loadSeconds = loadSeconds(engine, deployed);
        double displacementCost = fromStore ? costs.displacementCost() : 0;
        long blockedModels = fromStore ? blockedModels(plan, engine, evicted) : 0;
        boolean servedInZone =
                engine.zone()
                        .filter(zone -> plan.weightLocations().servedIn(zone, model))
                        .isPresent();
        return Optional.of(
                new LoadOption(
                        engine,
                        List.copyOf(evicted),
                        loss,
                        loadSeconds,
                        costs.servedRate(),
                        displacementCost,
                        blockedModels,
                        fromStore,
                        servedInZone));
    }

    /**
     * Returns how many models cannot be served while an engine loads from the store: it alone
     * stores their weights, or serves them until they are evicted for this load, and no other
     * engine serves them. In one run without failures, a model evicted like this was requested 3 s
     * later and available again only after 6 s, when the load of another model on the only engine
     * with its weights had ended.
     */
    private static long blockedModels(
            PlacementPlan plan, PlacementView.Engine engine, List<Artifact> evicted) {
        Set<ModelId> here = new HashSet<>(engine.localLoadTimes().keySet());
        evicted.forEach(artifact -> here.add(artifact.id()));
        engine.resident().stream()
                .map(PlacementView.ResidentArtifact::artifact)
                .filter(artifact -> !evicted.contains(artifact))
                .forEach(artifact -> here.remove(artifact.id()));
        return here.stream()
                .filter(model -> !plan.weightLocations().availableWithout(engine, model))
                .count();
    }

    private static boolean evictable(
            PlacementPlan plan, PlacementView.ResidentArtifact resident, Duration residence) {
        return plan.view().now() - resident.since() >= residence.toNanos();
    }

    private static double loadSeconds(
            PlacementView.Engine engine, PlacementView.DeployedArtifact deployed) {
        Duration local = engine.localLoadTimes().get(deployed.artifact().id());
        Duration load = local == null ? deployed.storeLoadTime() : local;
        return load.toMillis() / MILLIS_PER_SECOND;
    }
}
