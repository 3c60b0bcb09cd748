package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.Trials;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Picks the instance for each request of one host, by what is resident where, which prompt parts
 * were read where, and how much work each instance has.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class Dispatcher {

    /** Where the routes tell none any more: that of two of three deployments measured. */
    private static final Duration USUAL_OBJECTIVE = Duration.ofMillis(800);

    /** A running request slows a batch about as much as this many prompt tokens delay it once. */
    private static final double TOKENS_PER_RUNNING = 60;

    /** An instance in another zone is taken if it has this many prompt tokens less to read. */
    private static final double OTHER_ZONE_TOKENS = 150;

    /** A plain service's instance in another zone counts as holding this many requests more. */
    private static final double OTHER_ZONE_REQUESTS = 0.3;

    /** Without an answer for this long, a plain instance counts as silent while others answer. */
    private static final long PLAIN_SILENCE_NANOS = Duration.ofMillis(600).toNanos();

    /** Without a first event for this long, an engine counts as silent while others answer. */
    private static final long ENGINE_SILENCE_NANOS = Duration.ofMillis(1500).toNanos();

    /** A plain instance queues a few requests beyond its slots. */
    private static final double PLAIN_QUEUE_SHARE = 2.0;

    private static final double SILENT_PENALTY = 1e6;
    private static final double FAILURE_WEIGHT = 6;

    private final ZoneId zone;
    private final RandomGenerator random;
    private final Map<UpstreamId, Instance> instances = new LinkedHashMap<>();
    private final Map<UpstreamId, InstanceLoad> loads = new HashMap<>();
    private final ResidencyBelief belief = new ResidencyBelief();
    private Map<ServiceName, EngineSpec> engines = Map.of();
    private Map<ServiceName, Duration> objectives = Map.of();

    private record Scored(Instance instance, double score) {}

    /** Creates a dispatcher that knows no instance. */
    public Dispatcher(ZoneId zone, RandomGenerator random) {
        this.zone = zone;
        this.random = random;
    }

    /** Takes over what the services' engines are like. */
    public void engines(Map<ServiceName, EngineSpec> next) {
        engines = Map.copyOf(next);
    }

    /** Takes over the shortest objective of the routes that lead to each service. */
    public void objectives(Map<ServiceName, Duration> next) {
        objectives = Map.copyOf(next);
    }

    /** Takes in what is newly known of an instance. */
    public void changed(Instance instance) {
        if (instance.state() == InstanceState.GONE) {
            instances.remove(instance.id());
            loads.remove(instance.id());
            belief.forget(instance.id());
            return;
        }
        belief.reported(instances.put(instance.id(), instance), instance);
    }

    /**
     * Notes what an instance holds now, or is about to hold no more, before its next report.
     *
     * @param adapter the adapter concerned, or nothing where the model itself is
     */
    public void residency(
            UpstreamId id, ModelId model, Optional<String> adapter, boolean resident, long now) {
        if (instances.containsKey(id)) {
            belief.told(id, model, adapter, resident, now);
        }
    }

    /**
     * Notes that an instance has begun to load a model.
     *
     * @param within how long the load takes
     */
    public void coming(UpstreamId id, ModelId model, Duration within, long now) {
        if (instances.containsKey(id)) {
            belief.coming(id, model, within, now);
        }
    }

    /** Notes that an instance has refused a request because it lacks what it asks for. */
    public void lacks(UpstreamId id, Need need, long now) {
        if (need.model().isPresent()) {
            residency(id, need.model().get(), need.adapter(), false, now);
        }
    }

    /** Returns every known instance. */
    public Collection<Instance> instances() {
        return instances.values();
    }

    /** Returns what is known of an instance. */
    public Optional<Instance> find(UpstreamId id) {
        return Optional.ofNullable(instances.get(id));
    }

    /**
     * Decides where a request goes.
     *
     * @param allowed the instances that it may be sent to
     * @param late whether its answer can only be late
     */
    public Choice choose(Need need, Predicate<UpstreamId> allowed, boolean late, long now) {
        return choose(need, allowed, late, Optional.empty(), now);
    }

    /**
     * Decides where a request goes.
     *
     * @param allowed the instances that it may be sent to
     * @param late whether its answer can only be late
     * @param apart by what a request that is to be kept apart picks among instances, whatever their
     *     load: the same for each copy of it, at any host
     */
    public Choice choose(
            Need need,
            Predicate<UpstreamId> allowed,
            boolean late,
            Optional<RequestDigest> apart,
            long now) {
        List<Instance> serving = new ArrayList<>();
        boolean known = false;
        for (Instance instance : instances.values()) {
            boolean fits =
                    instance.state() == InstanceState.READY
                            && instance.service().equals(need.service());
            known |= fits;
            if (fits && allowed.test(instance.id())) {
                serving.add(instance);
            }
        }
        if (serving.isEmpty()) {
            return known ? new Choice.AllTried() : new Choice.NobodyServes();
        }
        EngineSpec engine = engines.get(need.service());
        if (need.model().isEmpty() || engine == null) {
            return plain(serving, apart, now);
        }
        return resident(need, need.model().get(), serving, engine, late, apart, now);
    }

    /** Notes that a request is sent. */
    public Sending began(UpstreamId id, Need need, long now) {
        InstanceLoad load = load(id);
        Sending sending = new Sending(id, need, unreadTokens(load, need), now);
        load.began(sending.tokens(), now);
        return sending;
    }

    /** Notes the first event, or the head of a plain answer. */
    public void answered(Sending sending, long now) {
        if (!sending.markAnswered()) {
            return;
        }
        InstanceLoad load = load(sending.instance());
        load.answered(sending.tokens(), sending.startedAt());
        Duration objective = objectives.getOrDefault(sending.need().service(), USUAL_OBJECTIVE);
        load.firstEvent(sending.startedAt(), now, objective);
        load.trust();
        sending.need().parts().forEach(part -> load.read(part.id(), now));
    }

    /** Notes that a request has left an instance, however. */
    public void ended(Sending sending, long now) {
        if (!sending.markEnded()) {
            return;
        }
        InstanceLoad load = load(sending.instance());
        if (sending.markAnswered()) {
            load.answered(sending.tokens(), sending.startedAt());
        }
        load.ended(now - sending.startedAt());
    }

    /** Notes that an instance has given a whole answer. */
    public void succeeded(UpstreamId id) {
        load(id).outcome(true);
    }

    /** Notes that an instance cannot be reached or breaks off. */
    public void failed(UpstreamId id, long now) {
        load(id).suspect(now);
        load(id).outcome(false);
    }

    /** Notes that an instance has answered a request with a failure of its own. */
    public void erred(UpstreamId id) {
        load(id).outcome(false);
    }

    /** Takes in how many requests an instance runs and queues, for all hosts together. */
    public void told(UpstreamId id, int runningAndWaiting, long now) {
        load(id).told(runningAndWaiting, now);
    }

    /** Takes in how many requests the other hosts have at each instance. */
    public void othersTold(Map<UpstreamId, Integer> work, long now) {
        for (UpstreamId id : instances.keySet()) {
            load(id).othersTold(work.getOrDefault(id, 0), now);
        }
    }

    /** Takes what this host has to tell of each instance since it told last. */
    public Map<UpstreamId, InstanceWork> takeWork() {
        Map<UpstreamId, InstanceWork> all = new HashMap<>();
        loads.forEach(
                (id, load) -> {
                    InstanceWork work = load.takeWork();
                    if (!work.isNothing()) {
                        all.put(id, work);
                    }
                });
        return all;
    }

    /** Returns requests that an instance runs or queues, as far as is known. */
    public double occupancy(UpstreamId id, long now) {
        return load(id).occupancy(now);
    }

    private Choice plain(List<Instance> serving, Optional<RequestDigest> apart, long now) {
        List<Scored> scored = new ArrayList<>();
        for (Instance instance : serving) {
            InstanceLoad load = load(instance.id());
            if (load.occupancy(now) >= instance.slots() * PLAIN_QUEUE_SHARE) {
                continue;
            }
            double score = (load.occupancy(now) + 1) / Math.max(1, instance.slots());
            score += instance.zone().equals(zone) ? 0 : OTHER_ZONE_REQUESTS / instance.slots();
            score *= 1 + FAILURE_WEIGHT * load.failureShare();
            score += load.suspected(now) ? SILENT_PENALTY : 0;
            score += load.silentFor(PLAIN_SILENCE_NANOS, now) ? SILENT_PENALTY : 0;
            scored.add(scored(instance, score, apart));
        }
        return scored.isEmpty() ? new Choice.Full(0) : new Choice.Send(least(scored), "load");
    }

    private Choice resident(
            Need need,
            ModelId model,
            List<Instance> serving,
            EngineSpec engine,
            boolean late,
            Optional<RequestDigest> apart,
            long now) {
        List<Instance> holders = new ArrayList<>();
        for (Instance instance : serving) {
            boolean reported = instance.copyOf(model).isPresent();
            if (reported && belief.holds(instance, model, Optional.empty(), true, now)) {
                holders.add(instance);
            }
        }
        if (holders.isEmpty()) {
            return missing(model, serving, engine, now);
        }
        List<Instance> trusted =
                holders.stream().filter(holder -> !doubted(holder.id(), now)).toList();
        return among(trusted.isEmpty() ? holders : trusted, need, engine, late, apart, now);
    }

    private Choice among(
            List<Instance> holders,
            Need need,
            EngineSpec engine,
            boolean late,
            Optional<RequestDigest> apart,
            long now) {
        List<Scored> ready = new ArrayList<>();
        List<Scored> lacking = new ArrayList<>();
        double placesPerSecond = 0;
        for (Instance instance : holders) {
            InstanceLoad load = load(instance.id());
            placesPerSecond += load.placesPerSecond(engine.slots(), now);
            if (load.occupancy(now) >= engine.slots() || !load.takesPrompt(late, now)) {
                continue;
            }
            Scored scored = scored(instance, engineScore(instance, load, need, now), apart);
            boolean hasAdapter = need.adapter().isEmpty() || hasAdapter(instance, need, now);
            (hasAdapter ? ready : lacking).add(scored);
        }
        if (!ready.isEmpty()) {
            return new Choice.Send(least(ready), "resident");
        }
        if (!lacking.isEmpty()) {
            return new Choice.AdapterMissing(least(lacking));
        }
        return new Choice.Full(placesPerSecond);
    }

    private boolean doubted(UpstreamId id, long now) {
        InstanceLoad load = load(id);
        return load.suspected(now) || load.silentFor(ENGINE_SILENCE_NANOS, now);
    }

    private Choice missing(ModelId model, List<Instance> serving, EngineSpec engine, long now) {
        Optional<ModelWeights> weights = engine.model(model);
        if (weights.isEmpty()) {
            return new Choice.NobodyServes();
        }
        Duration load = weights.get().loadFromStore();
        long soonest = Long.MAX_VALUE;
        for (Instance instance : serving) {
            Duration here = weights.get().loadTime(instance.inHostMemory(), instance.onDisk());
            load = here.compareTo(load) < 0 ? here : load;
            soonest = Math.min(soonest, belief.leftOfLoad(instance.id(), model, now));
        }
        return soonest == Long.MAX_VALUE
                ? new Choice.ModelMissing(load)
                : new Choice.ModelComing(Duration.ofNanos(soonest));
    }

    private double engineScore(Instance instance, InstanceLoad load, Need need, long now) {
        double tokens = load.pendingTokens() + unreadTokens(load, need);
        tokens += TOKENS_PER_RUNNING * load.occupancy(now);
        tokens += instance.zone().equals(zone) ? 0 : OTHER_ZONE_TOKENS;
        return tokens * (1 + FAILURE_WEIGHT * load.failureShare());
    }

    private boolean hasAdapter(Instance instance, Need need, long now) {
        ModelId model = need.model().orElseThrow();
        boolean reported =
                instance.copyOf(model)
                        .filter(copy -> copy.adapters().contains(need.adapter().orElseThrow()))
                        .isPresent();
        return belief.holds(instance, model, need.adapter(), reported, now);
    }

    private static long unreadTokens(InstanceLoad load, Need need) {
        long unread = need.promptTokens();
        for (PromptPart part : need.parts()) {
            if (!load.hasRead(part.id())) {
                break;
            }
            unread -= part.tokens();
        }
        return Math.max(0, unread);
    }

    private static Scored scored(Instance instance, double score, Optional<RequestDigest> apart) {
        return new Scored(
                instance,
                apart.map(request -> (double) Trials.order(request, instance.id())).orElse(score));
    }

    private Instance least(List<Scored> scored) {
        Scored best = scored.get(random.nextInt(scored.size()));
        for (Scored candidate : scored) {
            if (candidate.score() < best.score()) {
                best = candidate;
            }
        }
        return best.instance();
    }

    /** Nothing is kept of an instance that is not known, whose requests may still come back. */
    private InstanceLoad load(UpstreamId id) {
        return instances.containsKey(id)
                ? loads.computeIfAbsent(id, key -> new InstanceLoad())
                : new InstanceLoad();
    }
}
