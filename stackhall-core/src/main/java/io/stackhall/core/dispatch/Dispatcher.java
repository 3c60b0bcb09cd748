package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.limit.LimitedUpstreams;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.route.EngineSpec;
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

    private final Map<UpstreamId, Instance> instances = new LinkedHashMap<>();
    private final Map<UpstreamId, InstanceLoad> loads = new HashMap<>();
    private final ResidencyBelief belief = new ResidencyBelief();
    private Map<ServiceName, EngineSpec> engines = Map.of();
    private Map<ServiceName, Duration> objectives = Map.of();
    private Map<ServiceName, Double> coldPerSecond = Map.of();
    private EvacuatedZones evacuated = EvacuatedZones.none();
    private final Map<ServiceName, ReadingPace> paces = new HashMap<>();

    private final ColdShare cold;
    private final LimitedUpstreams limits;
    private final PlainChoice plain;
    private final EngineChoice holders;

    /**
     * Creates a dispatcher that knows no instance.
     *
     * @param limits which instances have named a limit, as this host knows it
     */
    public Dispatcher(ZoneId zone, LimitedUpstreams limits, RandomGenerator random) {
        this.cold = new ColdShare(random);
        this.limits = limits;
        this.plain = new PlainChoice(zone, random, this::load);
        this.holders = new EngineChoice(zone, random, this::load, belief);
    }

    /** Takes over what the services' engines are like. */
    public void engines(Map<ServiceName, EngineSpec> next) {
        engines = Map.copyOf(next);
    }

    /** Takes over how many requests a second the services' instances bear while they are cold. */
    public void coldPerSecond(Map<ServiceName, Double> next) {
        coldPerSecond = Map.copyOf(next);
    }

    /** Takes in how many hosts there are, which share what a cold instance bears. */
    public void shared(int hosts) {
        cold.shared(hosts);
        limits.shared(hosts);
    }

    /** Takes over which zones' instances get nothing. */
    public void evacuated(EvacuatedZones next) {
        evacuated = next;
    }

    /** Takes over the shortest objective of the routes that lead to each service. */
    public void objectives(Map<ServiceName, Duration> next) {
        objectives = Map.copyOf(next);
    }

    /** Takes in what is newly known of an instance. */
    public void changed(Instance instance) {
        if (instance.state() == InstanceState.GONE) {
            cold.forget(instance.id());
            limits.forget(instance.id());
            instances.remove(instance.id());
            loads.remove(instance.id());
            belief.forget(instance.id());
            return;
        }
        cold.reported(instance);
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
     * @param left what is left of its objective; nothing where its answer can only be late
     */
    public Choice choose(Need need, Predicate<UpstreamId> allowed, Duration left, long now) {
        return choose(need, allowed, left, Optional.empty(), now);
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
        Duration left = late ? Duration.ZERO : objective(need.service());
        return choose(need, allowed, left, apart, now);
    }

    private Choice choose(
            Need need,
            Predicate<UpstreamId> allowed,
            Duration left,
            Optional<RequestDigest> apart,
            long now) {
        List<Instance> serving = new ArrayList<>();
        List<Instance> limited = new ArrayList<>();
        double bearsCold = coldPerSecond.getOrDefault(need.service(), 0.0);
        boolean known = false;
        boolean spared = false;
        for (Instance instance : instances.values()) {
            boolean fits =
                    instance.state() == InstanceState.READY
                            && !evacuated.contains(instance.zone())
                            && instance.service().equals(need.service());
            known |= fits;
            if (fits && allowed.test(instance.id())) {
                if (!cold.allows(instance.id(), bearsCold, now)) {
                    spared = true;
                } else if (limits.allows(instance.id(), now)) {
                    serving.add(instance);
                } else {
                    limited.add(instance);
                }
            }
        }
        Asked asked = new Asked(need, objective(need.service()), left, apart, now);
        Optional<Choice> choice =
                serving.isEmpty() ? Optional.empty() : Optional.of(among(serving, asked));
        Optional<Choice> held =
                limited.isEmpty() ? Optional.empty() : limited(limited, choice, asked);
        Optional<Choice> decided = held.or(() -> choice);
        if (decided.isPresent()) {
            return decided.get();
        }
        if (spared) {
            return new Choice.Full(0);
        }
        return known ? new Choice.AllTried() : new Choice.NobodyServes();
    }

    private Choice among(List<Instance> serving, Asked asked) {
        EngineSpec engine = engines.get(asked.need().service());
        if (asked.need().model().isEmpty() || engine == null) {
            return plain.choose(serving, asked.apart(), asked.now());
        }
        return holders.choose(asked, serving, engine, pace(asked.need().service()));
    }

    /**
     * Decides about instances that could be sent nothing without a permit: a request that another
     * one takes goes there at once, any other waits for the permit.
     */
    private Optional<Choice> limited(
            List<Instance> limited, Optional<Choice> otherwise, Asked asked) {
        if (otherwise.filter(Choice.Send.class::isInstance).isPresent()) {
            limited.stream()
                    .filter(one -> limits.spareDue(one.id(), asked.now()))
                    .filter(one -> among(List.of(one), asked) instanceof Choice.Send)
                    .forEach(one -> limits.spare(one.id(), asked.now()));
            return Optional.empty();
        }
        if (otherwise.filter(Choice.AdapterMissing.class::isInstance).isPresent()) {
            return Optional.empty();
        }
        return switch (among(limited, asked)) {
            case Choice.Send(Instance instance, String why) ->
                    Optional.of(
                            new Choice.Limited(
                                    instance, limits.await(instance.id(), asked.now()), otherwise));
            case Choice.AdapterMissing missing -> Optional.of(missing);
            case Choice other -> otherwise.isPresent() ? Optional.empty() : Optional.of(other);
        };
    }

    /** Notes that a request is sent. */
    public Sending began(UpstreamId id, Need need, long now) {
        cold.sent(id, coldPerSecond.getOrDefault(need.service(), 0.0), now);
        limits.sent(id, now);
        InstanceLoad load = load(id);
        boolean alone = load.unread(pace(need.service()), now) <= 0;
        Sending sending = new Sending(id, need, load.unreadOf(need), alone, now);
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
        load.firstEvent(sending.startedAt(), now, objective(sending.need().service()));
        if (sending.alone()) {
            pace(sending.need().service()).read(sending.tokens(), now - sending.startedAt());
        }
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

    /** Takes in how many tokens of the other hosts' prompts each instance has not read yet. */
    public void othersUnreadTold(Map<UpstreamId, Integer> tokens, long now) {
        for (UpstreamId id : instances.keySet()) {
            load(id).othersUnreadTold(tokens.getOrDefault(id, 0), now);
        }
    }

    /** Returns how many tokens of this host's prompts each instance has not read yet. */
    public Map<UpstreamId, Integer> unreadTokens() {
        Map<UpstreamId, Integer> all = new HashMap<>();
        loads.forEach(
                (id, load) -> {
                    if (load.pendingTokens() > 0) {
                        all.put(id, (int) Math.min(Integer.MAX_VALUE, load.pendingTokens()));
                    }
                });
        return all;
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

    private Duration objective(ServiceName service) {
        return objectives.getOrDefault(service, USUAL_OBJECTIVE);
    }

    private ReadingPace pace(ServiceName service) {
        return paces.computeIfAbsent(service, name -> new ReadingPace());
    }

    /** Nothing is kept of an instance that is not known, whose requests may still come back. */
    private InstanceLoad load(UpstreamId id) {
        return instances.containsKey(id)
                ? loads.computeIfAbsent(id, key -> new InstanceLoad())
                : new InstanceLoad();
    }
}
