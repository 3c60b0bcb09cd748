package io.stackhall.core.residency;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Artifact;
import io.stackhall.core.placement.DemandTracker;
import io.stackhall.core.policy.Move;
import io.stackhall.core.policy.PlacementPolicy;
import io.stackhall.core.policy.PlacementView;
import io.stackhall.core.residency.EngineLedger.AdapterKey;
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

    /** A model that is asked for every ten seconds should not look idle between two requests. */
    private static final Duration DEMAND_HALF_LIFE = Duration.ofSeconds(8);

    private static final long DECIDE_NANOS = Duration.ofMillis(100).toNanos();

    /**
     * At the first start engines become known within two heartbeats. A decision taken earlier saw
     * one engine of eight and made room there for a model that three others held.
     */
    private static final long SETTLE_NANOS = Duration.ofMillis(2500).toNanos();

    private static final String ANY_VERSION = "";

    private final PlacementPolicy policy;
    private final StoreWindow store;
    private final DemandTracker demand = new DemandTracker(DEMAND_HALF_LIFE);
    private final Map<AdapterKey, Long> adapterUsed = new HashMap<>();
    private final Map<UpstreamId, EngineLedger> engines = new LinkedHashMap<>();
    private final Map<ModelId, Long> starvedSince = new HashMap<>();
    private Map<ServiceName, EngineSpec> specs = Map.of();
    private long nextDecision;
    private boolean learning;
    private long firstEngineAt;

    /**
     * Creates a keeper that knows no engine.
     *
     * @param policy decides which models are loaded and evicted
     * @param storeWindow the window in which loads from the weight store are counted
     */
    public ResidencyKeeper(PlacementPolicy policy, Duration storeWindow) {
        this.policy = policy;
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
                    engine = new EngineLedger(instance);
                    firstEngineAt = engines.isEmpty() ? now : firstEngineAt;
                    engines.put(instance.id(), engine);
                }
                engine.reported(instance, now);
            }
        }
        engines.keySet().retainAll(usable);
    }

    /** Takes in an entry host's counts of arrivals and waiting requests. */
    public void demanded(
            HostId host, Map<ModelId, Integer> arrivals, Map<ModelId, Integer> waiting, long now) {
        demand.report(host, arrivals, waiting, now);
    }

    /** Notes that an adapter was asked for. */
    public void adapterUsed(ModelId model, String adapter, long now) {
        adapterUsed.put(new AdapterKey(model, adapter), now);
    }

    /** Notes that requests wait for an adapter on an engine that holds its model. */
    public void adapterWanted(UpstreamId id, ModelId model, String adapter, long now) {
        adapterUsed(model, adapter, now);
        EngineLedger engine = engines.get(id);
        if (engine != null) {
            freeEngine(engine, model).want(new AdapterKey(model, adapter));
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
        boolean done = answer == EngineAnswer.TAKEN || answer == EngineAnswer.HOLDS;
        if (done && order.load() && order.adapter().isPresent()) {
            effects.add(
                    new ResidencyEffect.Tell(
                            order.instance(), order.model(), order.adapter(), true));
        }
        effects.addAll(step(now));
        return effects;
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
        PlacementView view = view(service, spec, now);
        learning &= now - firstEngineAt < SETTLE_NANOS;
        boolean nobodyWaits = view.wants().stream().allMatch(want -> want.waiting() == 0);
        if (learning && nobodyWaits) {
            return;
        }
        for (Move move : policy.decide(view)) {
            EngineLedger engine = engines.get(move.upstream());
            if (engine == null) {
                continue;
            }
            ModelId model = move.artifact().id();
            switch (move) {
                case Move.Load ignored when engine.makesRoom() -> engine.loadNext(model, now);
                case Move.Load ignored when engine.ready() ->
                        modelLoad(engine, spec, model, now)
                                .ifPresent(order -> begin(engine, order, effects, now));
                case Move.Unload ignored when engine.ready() -> {
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
        Optional<EngineOrder> load =
                spec == null
                        ? Optional.empty()
                        : next.flatMap(model -> modelLoad(engine, spec, model, now));
        return load.or(() -> nextAdapterOrder(engine));
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

    private Optional<EngineOrder> nextAdapterOrder(EngineLedger engine) {
        EngineSpec spec = specs.get(engine.instance().service());
        Optional<AdapterKey> next = engine.nextWanted();
        while (next.isPresent()) {
            AdapterKey key = next.get();
            Set<AdapterKey> held = engine.adapters();
            boolean possible = spec != null && engine.instance().copyOf(key.model()).isPresent();
            if (!possible || held.contains(key)) {
                engine.dropWanted();
                next = engine.nextWanted();
                continue;
            }
            double size = spec.model(key.model()).map(ModelWeights::adapterMb).orElse(0.0);
            boolean fits = held.size() < spec.adapterSlots() && size <= engine.freeMb(spec);
            if (fits) {
                engine.dropWanted();
                return Optional.of(
                        newOrder(engine, true, key.model(), Optional.of(key.adapter()), false));
            }
            return leastUsed(held)
                    .map(
                            old ->
                                    newOrder(
                                            engine,
                                            false,
                                            old.model(),
                                            Optional.of(old.adapter()),
                                            false));
        }
        return Optional.empty();
    }

    private Optional<AdapterKey> leastUsed(Set<AdapterKey> held) {
        return held.stream()
                .min(Comparator.comparingLong(key -> adapterUsed.getOrDefault(key, 0L)));
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

    private PlacementView view(ServiceName service, EngineSpec spec, long now) {
        List<PlacementView.Seat> seats = new ArrayList<>();
        for (EngineLedger engine : engines.values()) {
            if (engine.instance().service().equals(service)) {
                seats.add(seat(engine, spec));
            }
        }
        List<PlacementView.Want> wants = new ArrayList<>();
        for (ModelWeights weights : spec.models().values()) {
            wants.add(want(weights, seats, now));
        }
        return new PlacementView(seats, wants, store.left(now), now);
    }

    private static PlacementView.Seat seat(EngineLedger engine, EngineSpec spec) {
        Instance instance = engine.instance();
        List<PlacementView.Held> held = new ArrayList<>();
        for (ModelCopy copy : instance.models()) {
            long size =
                    (long)
                            Math.ceil(
                                    spec.model(copy.model())
                                            .map(ModelWeights::weightsMb)
                                            .orElse(0.0));
            held.add(
                    new PlacementView.Held(
                            artifact(copy.model()), size, engine.since(copy.model())));
        }
        Map<ModelId, Duration> near = new HashMap<>();
        for (ModelWeights weights : spec.models().values()) {
            if (instance.inHostMemory().contains(weights.model())) {
                near.put(weights.model(), weights.loadFromMemory());
            } else if (instance.onDisk().contains(weights.model())) {
                near.put(weights.model(), weights.loadFromDisk());
            }
        }
        return new PlacementView.Seat(
                instance.id(),
                (long) Math.floor(engine.freeMb(spec)),
                instance.slots(),
                held,
                !engine.ready(),
                engine.loading().map(ResidencyKeeper::artifact),
                near);
    }

    private PlacementView.Want want(
            ModelWeights weights, List<PlacementView.Seat> seats, long now) {
        ModelId model = weights.model();
        int waiting = demand.waiting(model, now);
        boolean resident = seats.stream().anyMatch(seat -> seat.holds(model));
        if (waiting > 0 && !resident) {
            starvedSince.putIfAbsent(model, now);
        } else {
            starvedSince.remove(model);
        }
        double starved =
                (now - starvedSince.getOrDefault(model, now))
                        / (double) Duration.ofSeconds(1).toNanos();
        return new PlacementView.Want(
                artifact(model),
                (long) Math.ceil(weights.weightsMb()),
                Optional.empty(),
                1,
                demand.ratePerSecond(model, now),
                waiting,
                starved,
                demand.lastUsed(model, 0));
    }

    private static Artifact artifact(ModelId model) {
        return new Artifact(model, ANY_VERSION);
    }
}
