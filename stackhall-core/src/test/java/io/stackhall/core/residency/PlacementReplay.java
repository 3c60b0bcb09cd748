package io.stackhall.core.residency;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.membership.Artifact;
import io.stackhall.core.policy.PlacementAction;
import io.stackhall.core.policy.PlacementPolicy;
import io.stackhall.core.policy.PlacementView;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * Simulates placement with more requested models than model slots. Urgent callers, whose demand
 * shifts to other models, compete with patient ones, who request many models rarely. The production
 * policy and demand estimate run against simulated engines with model slots, weights in host memory
 * and on disk, load times, and sequential prompt processing. Times are in milliseconds.
 */
final class PlacementReplay {

    /** Computes the demand for a model that the policy is given. */
    interface DemandEstimate {
        /**
         * Returns the request rate per second.
         *
         * @param asked the measured rate
         * @param nearestLoad the duration of the fastest possible load
         */
        double rate(Model model, double asked, long nearestLoad);
    }

    /** The kind of caller that requests a model. */
    enum Kind {
        URGENT(400, 5_000),
        PATIENT(6_000, 20_000);

        private final long objectiveMillis;
        private final long deadline;

        Kind(long objective, long deadline) {
            this.objectiveMillis = objective;
            this.deadline = deadline;
        }

        long objectiveMillis() {
            return objectiveMillis;
        }
    }

    /**
     * The shares of requests of each kind answered within the latency objective, and the numbers of
     * loads.
     */
    record Outcome(double urgentInTime, double patientInTime, int loads, int storeLoads) {}

    /** A model and the kind of caller that requests it. */
    record Model(ModelId id, Kind kind) {
        Artifact artifact() {
            return new Artifact(id, "");
        }
    }

    private static final long LENGTH = 60_000;
    private static final long DECIDE_EVERY = 100;
    private static final long SHIFT_EVERY = 8_000;
    private static final long LIMITED_FROM = 8_000;
    private static final int SHIFT_BY = 3;
    private static final int ENGINES = 13;
    private static final int MODEL_SLOTS = 3;
    private static final int URGENT_MODELS = 20;
    private static final int BUSY_MODELS = 7;
    private static final int PATIENT_MODELS = 37;
    private static final double URGENT_PER_SECOND = 26;
    private static final double PATIENT_PER_SECOND = 6.6;
    private static final long PROMPT = 70;
    private static final long FROM_STORE = 8_000;
    private static final long UNLOAD = 150;
    private static final int STORE_LOADS_AT_ONCE = 4;
    private static final HostId HOST = new HostId("host");

    private final Random random;
    private final DemandEstimate estimate;
    private final PlacementPolicy policy;
    private final ModelDemand demand = new ModelDemand();
    private final List<Model> models = new ArrayList<>();
    private final List<ReplayEngine> engines = new ArrayList<>();
    private final Map<Model, Deque<Request>> waiting = new LinkedHashMap<>();
    private final Map<ModelId, Integer> arrivals = new HashMap<>();
    private final Map<Kind, Integer> asked = new EnumMap<>(Kind.class);
    private final Map<Kind, Integer> inTime = new EnumMap<>(Kind.class);
    private int loads;
    private int storeLoads;
    private int firstBusy;
    private boolean limitedLeftOut;
    private int limitedEngines;
    private double limitPerSecond;

    private record Request(long at) {}

    PlacementReplay(long seed, PlacementPolicy policy, DemandEstimate estimate) {
        this.random = new Random(seed);
        this.policy = policy;
        this.estimate = estimate;
        for (int number = 0; number < URGENT_MODELS; number++) {
            models.add(new Model(new ModelId("u" + number), Kind.URGENT));
        }
        for (int number = 0; number < PATIENT_MODELS; number++) {
            models.add(new Model(new ModelId("p" + number), Kind.PATIENT));
        }
        for (int number = 0; number < ENGINES; number++) {
            engines.add(new ReplayEngine(number));
        }
        models.forEach(model -> waiting.put(model, new ArrayDeque<>()));
        placeInitialModels();
    }

    /**
     * Limits the request rate of some engines from the eighth second on.
     *
     * @param leftOut whether these engines are hidden from the policy from then on
     */
    PlacementReplay limited(int count, double perSecond, boolean leftOut) {
        limitedLeftOut = leftOut;
        limitedEngines = count;
        limitPerSecond = perSecond;
        return this;
    }

    Outcome run() {
        for (long now = 0; now < LENGTH; now += ReplayEngine.STEP) {
            if (now % SHIFT_EVERY == 0 && now > 0) {
                firstBusy = (firstBusy + SHIFT_BY) % URGENT_MODELS;
            }
            if (now == LIMITED_FROM) {
                engines.subList(0, limitedEngines).forEach(engine -> engine.limit(limitPerSecond));
            }
            engines.forEach(ReplayEngine::refillPermits);
            arrive(now);
            completeOrders(now);
            if (now % DECIDE_EVERY == 0) {
                decide(now);
            }
            serve(now);
        }
        return new Outcome(share(Kind.URGENT), share(Kind.PATIENT), loads, storeLoads);
    }

    private double share(Kind kind) {
        return inTime.getOrDefault(kind, 0) / (double) asked.getOrDefault(kind, 1);
    }

    /**
     * Places two copies of each busy model, then one copy of every other model while slots are
     * free.
     */
    private void placeInitialModels() {
        int at = 0;
        for (int copy = 0; copy < 2; copy++) {
            for (int number = 0; number < BUSY_MODELS; number++) {
                hold(engines.get(at++ % ENGINES), models.get(number).id());
            }
        }
        for (Model model : models.subList(BUSY_MODELS, models.size())) {
            ReplayEngine engine = engines.get(at++ % ENGINES);
            if (engine.held.size() < MODEL_SLOTS) {
                hold(engine, model.id());
            } else {
                engine.cacheWeights(model.id());
            }
        }
    }

    private static void hold(ReplayEngine engine, ModelId model) {
        engine.held.put(model, 0L);
        engine.cacheWeights(model);
    }

    private void arrive(long now) {
        for (int number = 0; number < BUSY_MODELS; number++) {
            Model model = models.get((firstBusy + number) % URGENT_MODELS);
            double share = 2.0 * (BUSY_MODELS - number) / (BUSY_MODELS * (BUSY_MODELS + 1));
            arrive(model, URGENT_PER_SECOND * share, now);
        }
        for (Model model : models.subList(URGENT_MODELS, models.size())) {
            arrive(model, PATIENT_PER_SECOND / PATIENT_MODELS, now);
        }
    }

    private void arrive(Model model, double perSecond, long now) {
        if (random.nextDouble() < perSecond * ReplayEngine.STEP / 1000) {
            asked.merge(model.kind(), 1, Integer::sum);
            arrivals.merge(model.id(), 1, Integer::sum);
            waiting.get(model).addLast(new Request(now));
        }
    }

    private void serve(long now) {
        waiting.forEach(
                (model, requests) -> {
                    requests.removeIf(request -> now - request.at() > model.kind().deadline);
                    Optional<ReplayEngine> holder = leastLoaded(model.id());
                    while (holder.isPresent() && !requests.isEmpty()) {
                        Request request = requests.removeFirst();
                        ReplayEngine engine = holder.get();
                        engine.permits -= 1;
                        engine.promptsReadAt = Math.max(now, engine.promptsReadAt) + PROMPT;
                        engine.cacheWeights(model.id());
                        if (engine.promptsReadAt - request.at() <= model.kind().objectiveMillis) {
                            inTime.merge(model.kind(), 1, Integer::sum);
                        }
                        holder = leastLoaded(model.id());
                    }
                });
    }

    private Optional<ReplayEngine> leastLoaded(ModelId model) {
        return engines.stream()
                .filter(engine -> engine.held.containsKey(model) && engine.permits >= 1)
                .min(
                        Comparator.comparingDouble((ReplayEngine engine) -> -engine.perSecond)
                                .thenComparingLong(engine -> engine.promptsReadAt));
    }

    private void completeOrders(long now) {
        for (ReplayEngine engine : engines) {
            if (engine.orderEnds > now) {
                continue;
            }
            engine.loading.ifPresent(
                    model -> {
                        engine.held.put(model, nanos(now));
                        engine.cacheWeights(model);
                    });
            engine.loading = Optional.empty();
            engine.fromStore = false;
            if (!engine.nextLoads.isEmpty()) {
                load(engine, engine.nextLoads.removeFirst(), now);
            }
        }
    }

    private void load(ReplayEngine engine, ModelId model, long now) {
        Optional<Long> localLoad = engine.localLoadMillis(model);
        loads++;
        storeLoads += localLoad.isEmpty() ? 1 : 0;
        engine.loading = Optional.of(model);
        engine.fromStore = localLoad.isEmpty();
        engine.orderEnds = now + localLoad.orElse(FROM_STORE);
    }

    private void decide(long now) {
        Map<ModelId, Integer> waitingCounts = new HashMap<>();
        waiting.forEach(
                (model, requests) -> {
                    if (!requests.isEmpty()) {
                        waitingCounts.put(model.id(), requests.size());
                    }
                });
        demand.recordReport(HOST, Map.copyOf(arrivals), waitingCounts, nanos(now));
        arrivals.clear();
        for (PlacementAction action : policy.decide(view(now))) {
            ReplayEngine engine =
                    engines.stream()
                            .filter(each -> each.id.equals(action.upstream()))
                            .findFirst()
                            .orElseThrow();
            switch (action) {
                case PlacementAction.Unload unload -> {
                    engine.held.remove(unload.artifact().id());
                    engine.orderEnds = now + UNLOAD;
                }
                case PlacementAction.Load load -> {
                    if (engine.orderEnds > now) {
                        engine.nextLoads.addLast(load.artifact().id());
                    } else {
                        load(engine, load.artifact().id(), now);
                    }
                }
            }
        }
    }

    private PlacementView view(long now) {
        List<PlacementView.Engine> engineViews = new ArrayList<>();
        for (ReplayEngine engine : engines) {
            if (engine.limited() && limitedLeftOut) {
                continue;
            }
            List<PlacementView.ResidentArtifact> held = new ArrayList<>();
            engine.held.forEach(
                    (model, since) ->
                            held.add(
                                    new PlacementView.ResidentArtifact(
                                            new Artifact(model, ""), 100, since)));
            Map<ModelId, Duration> localLoad = new HashMap<>();
            engine.disk.forEach(
                    model -> localLoad.put(model, Duration.ofMillis(ReplayEngine.FROM_DISK)));
            engine.memory.forEach(
                    model -> localLoad.put(model, Duration.ofMillis(ReplayEngine.FROM_MEMORY)));
            boolean busy = engine.orderEnds > now || !engine.nextLoads.isEmpty();
            long free = (MODEL_SLOTS - held.size() - (engine.loading.isPresent() ? 1 : 0)) * 100L;
            engineViews.add(
                    new PlacementView.Engine(
                            engine.id,
                            free,
                            64,
                            held,
                            busy,
                            engine.loading.map(model -> new Artifact(model, "")),
                            localLoad,
                            Optional.of(engine.zone)));
        }
        List<PlacementView.DeployedArtifact> deployed = new ArrayList<>();
        models.forEach(model -> deployed.add(deployedArtifact(model, now)));
        int storeLoadsNow = (int) engines.stream().filter(engine -> engine.fromStore).count();
        return new PlacementView(
                engineViews,
                deployed,
                STORE_LOADS_AT_ONCE - storeLoadsNow,
                1000.0 / PROMPT,
                nanos(now));
    }

    private PlacementView.DeployedArtifact deployedArtifact(Model model, long now) {
        boolean resident = engines.stream().anyMatch(one -> one.held.containsKey(model.id()));
        double asked = demand.ratePerSecond(model.id(), nanos(now));
        long nearest =
                engines.stream()
                        .flatMap(engine -> engine.localLoadMillis(model.id()).stream())
                        .mapToLong(Long::longValue)
                        .min()
                        .orElse(FROM_STORE);
        return new PlacementView.DeployedArtifact(
                model.artifact(),
                100,
                Optional.empty(),
                1,
                estimate.rate(model, asked, nearest),
                demand.waiting(model.id(), nanos(now)),
                demand.starvedSeconds(model.id(), resident, nanos(now)),
                demand.lastUsed(model.id()),
                Duration.ofMillis(FROM_STORE));
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(1_000_000 + millis).toNanos();
    }
}
