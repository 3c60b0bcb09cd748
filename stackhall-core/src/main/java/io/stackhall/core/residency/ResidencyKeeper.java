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
 * Keeps engines holding the models and adapters that are asked for, on the one host that may give
 * orders.
 *
 * <p>Each order names how many orders its engine must have taken, so that of several sends of it at
 * most one is carried out, and none after a newer order. An order whose answer is lost stays open
 * and is sent again until its engine says what became of it; its memory stays charged meanwhile.
 */
public final class ResidencyKeeper {

    private static final long DECIDE_NANOS = Duration.ofMillis(100).toNanos();

    /**
     * At the first start engines become known within two heartbeats. A decision taken earlier saw
     * one engine of eight and made room there for a model that three others held.
     */
    private static final long SETTLE_NANOS = Duration.ofMillis(2500).toNanos();

    private final PlacementPolicy policy;
    private final Duration heartbeat;
    private final StoreWindow store;
    private final ModelDemand demand = new ModelDemand();
    private final EngineCapacity capacity = new EngineCapacity();
    private final AdapterSteps adapters = new AdapterSteps();
    private final Map<UpstreamId, EngineLedger> engines = new LinkedHashMap<>();
    private Map<ServiceName, EngineSpec> specs = Map.of();
    private EvacuatedZones evacuated = EvacuatedZones.none();
    private Set<UpstreamId> limited = Set.of();
    private long nextDecision;
    private boolean learning;
    private long firstEngineAt;

    /**
     * Creates a keeper that knows no engine.
     *
     * @param policy decides which models are loaded and evicted
     * @param storeWindow the window in which loads from the weight store are counted
     * @param heartbeat the interval of the engines' heartbeats
     */
    public ResidencyKeeper(PlacementPolicy policy, Duration storeWindow, Duration heartbeat) {
        this.policy = policy;
        this.heartbeat = heartbeat;
        this.store = new StoreWindow(storeWindow);
    }

    /** Takes over what the services' engines are like. */
    public void specs(Map<ServiceName, EngineSpec> next) {
        specs = Map.copyOf(next);
        specs.values().forEach(spec -> store.rate(spec.loadsPerSecond()));
    }

    /** Forgets every order: somebody else may have given others since. */
    public void restart(boolean afterAnother, long now) {
        engines.clear();
        learning = !afterAnother;
        if (afterAnother) {
            store.assumeFull(now);
        }
    }

    /** Takes in every instance that is known; an engine that is not among them is forgotten. */
    public void known(Collection<Instance> instances, long now) {
        Set<UpstreamId> usable = new HashSet<>();
        for (Instance instance : instances) {
            boolean serves = instance.state() == InstanceState.READY;
            if (serves && specs.containsKey(instance.service())) {
                usable.add(instance.id());
                EngineLedger engine = engines.get(instance.id());
                if (engine == null) {
                    engine = new EngineLedger(instance, heartbeat);
                    firstEngineAt = engines.isEmpty() ? now : firstEngineAt;
                    engines.put(instance.id(), engine);
                }
                engine.reported(instance, now);
            }
        }
        engines.keySet().retainAll(usable);
    }

    /** Takes over in which zones engines serve nobody, so that copies are wanted elsewhere. */
    public void evacuated(EvacuatedZones next) {
        evacuated = next;
    }

    /**
     * Takes over which engines have named a limit. They are placed on as all others are: a model
     * that is asked for more than its engine takes gets a further copy for that demand, while those
     * asked for rarely are served where they are.
     */
    public void limited(Set<UpstreamId> named) {
        limited = Set.copyOf(named);
    }

    private List<EngineLedger> inUse() {
        return engines.values().stream()
                .filter(engine -> !evacuated.contains(engine.instance().zone()))
                .toList();
    }

    /** Takes in an entry host's counts of arrivals and waiting requests. */
    public void demanded(
            HostId host, Map<ModelId, Integer> arrivals, Map<ModelId, Integer> waiting, long now) {
        demand.reported(host, arrivals, waiting, now);
    }

    /** Takes in what an entry host says of its requests at instances. */
    public void worked(Map<UpstreamId, InstanceWork> work, long now) {
        Map<UpstreamId, InstanceWork> ofEngines = new HashMap<>(work);
        ofEngines.keySet().retainAll(engines.keySet());
        capacity.worked(ofEngines, now);
    }

    /**
     * Notes that a host cannot connect to an engine.
     *
     * @param refused whether the connection was refused
     */
    public void unreachable(UpstreamId id, HostId host, boolean refused) {
        EngineLedger engine = engines.get(id);
        if (engine != null) {
            engine.unreachable(host, refused);
        }
    }

    /**
     * Notes that an engine wants nothing from this host for some time: neither orders nor reads.
     */
    public void wantsRest(UpstreamId id, Duration time, long now) {
        EngineLedger engine = engines.get(id);
        if (engine != null) {
            engine.wantsRest(time, now);
        }
    }

    /** Notes that an adapter was asked for. */
    public void adapterUsed(ModelId model, String adapter, long now) {
        adapters.used(new AdapterKey(model, adapter), now);
    }

    /** Notes that requests wait for an adapter on an engine that holds its model. */
    public void adapterWanted(UpstreamId id, ModelId model, String adapter, long now) {
        adapterUsed(model, adapter, now);
        EngineLedger engine = engines.get(id);
        if (engine != null) {
            freeEngine(engine, model).wanted().add(new AdapterKey(model, adapter));
        }
    }

    /** Returns an engine with the model that can take an order now, or else the one asked for. */
    private EngineLedger freeEngine(EngineLedger asked, ModelId model) {
        if (asked.ready()) {
            return asked;
        }
        return engines.values().stream()
                .filter(engine -> engine.instance().copyOf(model).isPresent() && engine.ready())
                .min(Comparator.comparingInt(engine -> engine.adapters().size()))
                .orElse(asked);
    }

    /** Takes in the answer to an order. */
    public List<ResidencyEffect> answered(EngineOrder order, EngineAnswer answer, long now) {
        List<ResidencyEffect> effects = new ArrayList<>();
        EngineLedger engine = engines.get(order.instance());
        if (engine == null || !order.equals(engine.unanswered())) {
            return effects;
        }
        engine.answered(answer, now);
        if (answer == EngineAnswer.TAKEN && order.load() && order.adapter().isEmpty()) {
            loadTime(engine.instance(), order.model())
                    .map(
                            time ->
                                    new ResidencyEffect.TellComing(
                                            order.instance(), order.model(), time))
                    .ifPresent(effects::add);
        }
        boolean done = answer == EngineAnswer.TAKEN || answer == EngineAnswer.HOLDS;
        if (done && order.load() && order.adapter().isPresent()) {
            effects.add(
                    new ResidencyEffect.Tell(
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

    /** Takes in an engine's own account of itself. */
    public void read(UpstreamId id, EngineReport report, long now) {
        EngineLedger engine = engines.get(id);
        if (engine != null) {
            engine.read(report, now);
        }
    }

    /** Notes that an engine's account could not be read. */
    public void readFailed(UpstreamId id, long now) {
        EngineLedger engine = engines.get(id);
        if (engine != null) {
            engine.readFailed(now);
        }
    }

    /** Returns what to do now; to be called several times within a tenth of a second. */
    public List<ResidencyEffect> step(long now) {
        List<ResidencyEffect> effects = new ArrayList<>();
        for (EngineLedger engine : engines.values()) {
            if (engine.startReading(now)) {
                Instance instance = engine.instance();
                effects.add(new ResidencyEffect.ReadReport(instance.id(), instance.address()));
            }
            if (engine.resendDue(now)) {
                engine.resent();
                effects.add(new ResidencyEffect.Send(engine.unanswered()));
            } else if (engine.ready()) {
                nextOrder(engine, now).ifPresent(order -> begin(engine, order, effects, now));
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
        EngineViews views = new EngineViews(inUse(), service, spec);
        if (learning) {
            views.copies().forEach(demand::expect);
            learning = now - firstEngineAt < SETTLE_NANOS;
        }
        PlacementView view = views.view(demand, store.left(now), capacity.perSecond(), now);
        boolean nobodyWaits = view.deployed().stream().allMatch(want -> want.waiting() == 0);
        if (learning && nobodyWaits) {
            return;
        }
        for (PlacementAction move : policy.decide(view)) {
            EngineLedger engine = engines.get(move.upstream());
            if (engine == null) {
                continue;
            }
            ModelId model = move.artifact().id();
            switch (move) {
                case PlacementAction.Load ignored when engine.makesRoom() ->
                        engine.loadNext(model, now);
                case PlacementAction.Load ignored when engine.ready() ->
                        modelLoad(engine, spec, model, now)
                                .ifPresent(order -> begin(engine, order, effects, now));
                case PlacementAction.Unload ignored when engine.ready() -> {
                    EngineOrder order = newOrder(engine, false, model, Optional.empty(), false);
                    begin(engine, order, effects, now);
                }
                default -> {
                    // An adapter order has come first; the policy decides anew within 100 ms.
                }
            }
        }
    }

    private Optional<EngineOrder> nextOrder(EngineLedger engine, long now) {
        EngineSpec spec = specs.get(engine.instance().service());
        Optional<ModelId> next = engine.takeNextLoad(now);
        if (spec == null) {
            return Optional.empty();
        }
        return next.flatMap(model -> modelLoad(engine, spec, model, now))
                .or(() -> adapterOrder(engine, spec));
    }

    private Optional<EngineOrder> modelLoad(
            EngineLedger engine, EngineSpec spec, ModelId model, long now) {
        boolean fromStore = !engine.instance().hasCopyAtHand(model);
        Optional<ModelWeights> weights = spec.model(model);
        boolean fits = weights.isPresent() && weights.get().weightsMb() <= engine.freeMb(spec);
        boolean held = engine.instance().copyOf(model).isPresent();
        if (!fits || held || (fromStore && store.left(now) < 1)) {
            return Optional.empty();
        }
        return Optional.of(newOrder(engine, true, model, Optional.empty(), fromStore));
    }

    private Optional<EngineOrder> adapterOrder(EngineLedger engine, EngineSpec spec) {
        // An engine in need is not given work that nobody waits for.
        boolean spare = !limited.contains(engine.instance().id());
        return adapters.next(engine, spec, spare)
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
            EngineLedger engine,
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

    private void begin(
            EngineLedger engine, EngineOrder order, List<ResidencyEffect> effects, long now) {
        engine.begin(order);
        if (order.fromStore()) {
            store.begin(now);
        }
        if (!order.load()) {
            effects.add(
                    new ResidencyEffect.Tell(
                            order.instance(), order.model(), order.adapter(), false));
        }
        effects.add(new ResidencyEffect.Send(order));
    }
}
