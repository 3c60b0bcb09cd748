package io.stackhall.core.residency;

import io.stackhall.core.dispatch.InstanceWork;
import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.policy.PlacementAction;
import io.stackhall.core.policy.PlacementPolicy;
import io.stackhall.core.policy.PlacementView;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps requested models and adapters resident on engines. Runs on the one host that may issue
 * orders.
 *
 * <p>Each order carries the number of orders that its engine must have taken before. If an order is
 * sent several times, at most one copy is therefore carried out, and none after a newer order. An
 * order whose answer is lost stays outstanding and is sent again until the engine reports its
 * outcome; meanwhile its memory remains charged.
 */
public final class ResidencyManager {

    private static final long DECIDE_NANOS = Duration.ofMillis(100).toNanos();

    /**
     * At the first start, engines become known within two heartbeats. A decision made earlier knew
     * one of eight engines, and unloaded a model there to make room for one that three others held.
     */
    private static final long DISCOVERY_NANOS = Duration.ofMillis(2500).toNanos();

    private final PlacementPolicy policy;
    private final Duration heartbeat;
    private final StoreLoadLimiter storeLimiter;
    private final ModelDemand demand = new ModelDemand();
    private final EngineCapacity engineCapacity = new EngineCapacity();
    private final AdapterPlanner adapterPlanner = new AdapterPlanner();
    private final Map<UpstreamId, EngineTracker> engines = new LinkedHashMap<>();
    private Map<ServiceName, EngineSpec> specs = Map.of();
    private EvacuatedZones evacuatedZones = EvacuatedZones.none();
    private Set<UpstreamId> limitedEngines = Set.of();
    private long nextDecision;
    private boolean discovering;
    private long firstEngineAt;

    /**
     * Creates a manager without engines.
     *
     * @param policy decides which models are loaded and evicted
     * @param storeWindow the sliding window in which loads from the weight store are limited
     * @param heartbeat the interval of the engines' heartbeats
     */
    public ResidencyManager(PlacementPolicy policy, Duration storeWindow, Duration heartbeat) {
        this.policy = policy;
        this.heartbeat = heartbeat;
        this.storeLimiter = new StoreLoadLimiter(storeWindow);
    }

    /** Sets the engine specification of each service. */
    public void setSpecs(Map<ServiceName, EngineSpec> next) {
        specs = Map.copyOf(next);
        specs.values().forEach(spec -> storeLimiter.setRate(spec.loadsPerSecond()));
    }

    /**
     * Discards the state of all engines, because another host may have issued orders since.
     *
     * @param hasPredecessor whether another host issued orders before; its loads from the weight
     *     store are then assumed to use up the limit of the current window
     */
    public void restart(boolean hasPredecessor, long now) {
        engines.clear();
        discovering = !hasPredecessor;
        if (hasPredecessor) {
            storeLimiter.exhaust(now);
        }
    }

    /**
     * Updates the engines from all known instances; engines that are not among them are removed.
     */
    public void updateInstances(Collection<Instance> instances, long now) {
        Set<UpstreamId> usable = new HashSet<>();
        for (Instance instance : instances) {
            boolean serves = instance.state() == InstanceState.READY;
            if (serves && specs.containsKey(instance.service())) {
                usable.add(instance.id());
                EngineTracker engine = engines.get(instance.id());
                if (engine == null) {
                    engine = new EngineTracker(instance, heartbeat);
                    firstEngineAt = engines.isEmpty() ? now : firstEngineAt;
                    engines.put(instance.id(), engine);
                }
                engine.onHeartbeat(instance, now);
            }
        }
        engines.keySet().retainAll(usable);
    }

    /**
     * Sets the evacuated zones. Engines in them serve no requests, so that their models are loaded
     * in other zones.
     */
    public void setEvacuatedZones(EvacuatedZones next) {
        evacuatedZones = next;
    }

    /**
     * Sets the engines that have announced a request limit. Models are placed on them as on all
     * others: a model whose demand exceeds the limit of its engine gets a further copy, while
     * rarely requested models are served where they are.
     */
    public void setLimitedEngines(Set<UpstreamId> engineIds) {
        limitedEngines = Set.copyOf(engineIds);
    }

    private List<EngineTracker> usableEngines() {
        return engines.values().stream()
                .filter(engine -> !evacuatedZones.contains(engine.instance().zone()))
                .toList();
    }

    /** Records an entry host's counts of arrived and waiting requests. */
    public void recordDemand(
            HostId host, Map<ModelId, Integer> arrivals, Map<ModelId, Integer> waiting, long now) {
        demand.recordReport(host, arrivals, waiting, now);
    }

    /** Records an entry host's report of its requests at instances. */
    public void recordWork(Map<UpstreamId, InstanceWork> work, long now) {
        Map<UpstreamId, InstanceWork> ofEngines = new HashMap<>(work);
        ofEngines.keySet().retainAll(engines.keySet());
        engineCapacity.recordWork(ofEngines, now);
    }

    /**
     * Records that a host cannot connect to an engine.
     *
     * @param refused whether the connection was refused, rather than timed out
     */
    public void recordConnectFailure(UpstreamId id, HostId host, boolean refused) {
        EngineTracker engine = engines.get(id);
        if (engine != null) {
            engine.recordConnectFailure(host, refused);
        }
    }

    /**
     * Records that an engine asked this host to send neither orders nor report requests for some
     * time.
     */
    public void recordRest(UpstreamId id, Duration time, long now) {
        EngineTracker engine = engines.get(id);
        if (engine != null) {
            engine.recordRest(time, now);
        }
    }

    /** Records that a request asked for an adapter. */
    public void recordAdapterUse(ModelId model, String adapter, long now) {
        adapterPlanner.recordUse(new AdapterKey(model, adapter), now);
    }

    /**
     * Requests the load of an adapter that requests wait for, preferably on the given engine, which
     * holds the model.
     */
    public void requestAdapter(UpstreamId id, ModelId model, String adapter, long now) {
        recordAdapterUse(model, adapter, now);
        EngineTracker engine = engines.get(id);
        if (engine != null) {
            readyEngine(engine, model).adapterQueue().add(new AdapterKey(model, adapter));
        }
    }

    /**
     * Returns the requested engine if it can take an order now, otherwise another ready engine with
     * the model, or the requested one if there is none.
     */
    private EngineTracker readyEngine(EngineTracker requested, ModelId model) {
        if (requested.isReadyForOrder()) {
            return requested;
        }
        return engines.values().stream()
                .filter(
                        engine ->
                                engine.instance().copyOf(model).isPresent()
                                        && engine.isReadyForOrder())
                .min(Comparator.comparingInt(engine -> engine.adapters().size()))
                .orElse(requested);
    }

    /**
     * Processes the answer to an order.
     *
     * @return the actions to perform, in order
     */
    public List<ResidencyEffect> onAnswer(EngineOrder order, EngineAnswer answer, long now) {
        List<ResidencyEffect> effects = new ArrayList<>();
        EngineTracker engine = engines.get(order.instance());
        if (engine == null || !order.equals(engine.unansweredOrder())) {
            return effects;
        }
        engine.onAnswer(answer, now);
        if (answer == EngineAnswer.TAKEN && order.load() && order.adapter().isEmpty()) {
            loadTime(engine.instance(), order.model())
                    .map(
                            time ->
                                    new ResidencyEffect.NotifyLoading(
                                            order.instance(), order.model(), time))
                    .ifPresent(effects::add);
        }
        boolean done = answer == EngineAnswer.TAKEN || answer == EngineAnswer.HOLDS;
        if (done && order.load() && order.adapter().isPresent()) {
            effects.add(
                    new ResidencyEffect.NotifyResidency(
                            order.instance(), order.model(), order.adapter(), true));
        }
        effects.addAll(step(now));
        return effects;
    }

    private Optional<Duration> loadTime(Instance instance, ModelId model) {
        return Optional.ofNullable(specs.get(instance.service()))
                .flatMap(spec -> spec.model(model))
                .map(weights -> weights.loadTime(instance.inHostMemory(), instance.onDisk()));
    }

    /** Processes the status report of an engine. */
    public void onReport(UpstreamId id, EngineReport report, long now) {
        EngineTracker engine = engines.get(id);
        if (engine != null) {
            engine.onReport(report, now);
        }
    }

    /** Records that the status report of an engine could not be read. */
    public void onReportFailed(UpstreamId id, long now) {
        EngineTracker engine = engines.get(id);
        if (engine != null) {
            engine.onReportFailed(now);
        }
    }

    /** Returns the actions that are due now. Must be called several times per 100 ms. */
    public List<ResidencyEffect> step(long now) {
        List<ResidencyEffect> effects = new ArrayList<>();
        for (EngineTracker engine : engines.values()) {
            if (engine.startReportRequest(now)) {
                Instance instance = engine.instance();
                effects.add(new ResidencyEffect.ReadReport(instance.id(), instance.address()));
            }
            if (engine.isResendDue(now)) {
                engine.markResent(now);
                effects.add(new ResidencyEffect.Send(engine.unansweredOrder()));
            } else if (engine.isReadyForOrder()) {
                nextOrder(engine, now).ifPresent(order -> sendOrder(engine, order, effects, now));
            }
        }
        if (now - nextDecision >= 0) {
            nextDecision = now + DECIDE_NANOS;
            specs.forEach((service, spec) -> decide(service, spec, effects, now));
        }
        return effects;
    }

    private void decide(
            ServiceName service, EngineSpec spec, List<ResidencyEffect> effects, long now) {
        if (engines.isEmpty()) {
            return;
        }
        EngineViewBuilder views = new EngineViewBuilder(usableEngines(), service, spec);
        if (discovering) {
            views.copyCounts().forEach(demand::assumeDemand);
            discovering = now - firstEngineAt < DISCOVERY_NANOS;
        }
        PlacementView view =
                views.view(
                        demand,
                        storeLimiter.availableLoads(now),
                        engineCapacity.requestsPerSecond(),
                        now);
        boolean nothingWaiting =
                view.deployed().stream().allMatch(deployed -> deployed.waiting() == 0);
        if (discovering && nothingWaiting) {
            return;
        }
        for (PlacementAction move : policy.decide(view)) {
            EngineTracker engine = engines.get(move.upstream());
            if (engine == null) {
                continue;
            }
            ModelId model = move.artifact().id();
            switch (move) {
                case PlacementAction.Load ignored when engine.isUnloadingModel() ->
                        engine.loadAfterUnload(model, now);
                case PlacementAction.Load ignored when engine.isReadyForOrder() ->
                        newModelLoad(engine, spec, model, now)
                                .ifPresent(order -> sendOrder(engine, order, effects, now));
                case PlacementAction.Unload ignored when engine.isReadyForOrder() -> {
                    EngineOrder order = newOrder(engine, false, model, Optional.empty(), false);
                    sendOrder(engine, order, effects, now);
                }
                default -> {
                    // An adapter order was sent first; the policy decides again within 100 ms.
                }
            }
        }
    }

    private Optional<EngineOrder> nextOrder(EngineTracker engine, long now) {
        EngineSpec spec = specs.get(engine.instance().service());
        Optional<ModelId> next = engine.pollNextLoad(now);
        if (spec == null) {
            return Optional.empty();
        }
        return next.flatMap(model -> newModelLoad(engine, spec, model, now))
                .or(() -> adapterOrder(engine, spec, now));
    }

    private Optional<EngineOrder> newModelLoad(
            EngineTracker engine, EngineSpec spec, ModelId model, long now) {
        boolean fromStore = !engine.instance().hasLocalWeights(model);
        Optional<ModelWeights> weights = spec.model(model);
        boolean fits = weights.isPresent() && weights.get().weightsMb() <= engine.freeMb(spec);
        boolean held = engine.instance().copyOf(model).isPresent();
        if (!fits || held || (fromStore && storeLimiter.availableLoads(now) < 1)) {
            return Optional.empty();
        }
        return Optional.of(newOrder(engine, true, model, Optional.empty(), fromStore));
    }

    private Optional<EngineOrder> adapterOrder(EngineTracker engine, EngineSpec spec, long now) {
        // An overloaded engine gets no adapter loads that no request waits for.
        boolean fillFreeSlots = !limitedEngines.contains(engine.instance().id());
        return adapterPlanner
                .nextChange(engine, spec, fillFreeSlots, now)
                .map(
                        step ->
                                newOrder(
                                        engine,
                                        step.load(),
                                        step.key().model(),
                                        Optional.of(step.key().adapter()),
                                        false));
    }

    private static EngineOrder newOrder(
            EngineTracker engine,
            boolean load,
            ModelId model,
            Optional<String> adapter,
            boolean fromStore) {
        return new EngineOrder(
                engine.instance().id(),
                engine.instance().address(),
                load,
                model,
                adapter,
                engine.ordersTaken(),
                fromStore);
    }

    private void sendOrder(
            EngineTracker engine, EngineOrder order, List<ResidencyEffect> effects, long now) {
        engine.beginOrder(order, now);
        if (order.fromStore()) {
            storeLimiter.recordLoad(now);
        }
        if (!order.load()) {
            effects.add(
                    new ResidencyEffect.NotifyResidency(
                            order.instance(), order.model(), order.adapter(), false));
        }
        effects.add(new ResidencyEffect.Send(order));
    }
}
