package io.stackhall.core.dispatch;

import io.stackhall.core.backpressure.Backpressure;
import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.route.EngineSpec;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
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

    private final Map<UpstreamId, Instance> instances = new LinkedHashMap<>();
    private final Map<UpstreamId, InstanceLoad> loads = new HashMap<>();
    private final ResidencyEstimate residency = new ResidencyEstimate();
    private final ServiceProfiles services = new ServiceProfiles();
    private EvacuatedZones evacuated = EvacuatedZones.none();
    private final ColdInstanceLimiter coldLimiter;
    private final Backpressure backpressure;
    private final InstanceSelector selector;

    /**
     * Creates a dispatcher that knows no instance.
     *
     * @param backpressure what instances ask of this host
     */
    public Dispatcher(ZoneId zone, Backpressure backpressure, RandomGenerator random) {
        this.coldLimiter = new ColdInstanceLimiter(random);
        this.backpressure = backpressure;
        this.selector =
                new InstanceSelector(
                        services,
                        coldLimiter,
                        backpressure,
                        new PlainServiceSelector(zone, random, this::load),
                        new EngineSelector(zone, random, this::load, residency));
    }

    /** Takes over what the services' engines are like. */
    public void setEngines(Map<ServiceName, EngineSpec> next) {
        services.engines(next);
    }

    /** Takes over how many requests a second the services' instances bear while they are cold. */
    public void setColdRequestsPerSecond(Map<ServiceName, Double> next) {
        services.coldRequestsPerSecond(next);
    }

    /** Takes in how many hosts there are, which share what a cold instance bears. */
    public void setHostCount(int hosts) {
        coldLimiter.setHostCount(hosts);
        backpressure.shared(hosts);
    }

    /** Takes over which zones' instances get nothing. */
    public void setEvacuatedZones(EvacuatedZones next) {
        evacuated = next;
    }

    /** Takes over the shortest objective of the routes that lead to each service. */
    public void setObjectives(Map<ServiceName, Duration> next) {
        services.objectives(next);
    }

    /** Takes in what is newly known of an instance. */
    public void updateInstance(Instance instance) {
        if (instance.state() == InstanceState.GONE) {
            coldLimiter.forget(instance.id());
            backpressure.forget(instance.id());
            instances.remove(instance.id());
            loads.remove(instance.id());
            residency.forget(instance.id());
            return;
        }
        coldLimiter.update(instance);
        residency.update(instances.put(instance.id(), instance), instance);
    }

    /**
     * Notes what an instance holds now, or is about to hold no more, before its next report.
     *
     * @param adapter the adapter concerned, or nothing where the model itself is
     */
    public void updateResidency(
            UpstreamId id, ModelId model, Optional<String> adapter, boolean resident, long now) {
        if (instances.containsKey(id)) {
            residency.override(id, model, adapter, resident, now);
        }
    }

    /**
     * Notes that an instance has begun to load a model.
     *
     * @param within how long the load takes
     */
    public void loadStarted(UpstreamId id, ModelId model, Duration within, long now) {
        if (instances.containsKey(id)) {
            residency.loadStarted(id, model, within, now);
        }
    }

    /** Notes that an instance has refused a request because it lacks what it asks for. */
    public void modelMissing(UpstreamId id, Need need, long now) {
        if (need.model().isPresent()) {
            updateResidency(id, need.model().get(), need.adapter(), false, now);
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
        Duration left = late ? Duration.ZERO : services.objective(need.service());
        return choose(need, allowed, left, apart, now);
    }

    private Choice choose(
            Need need,
            Predicate<UpstreamId> allowed,
            Duration left,
            Optional<RequestDigest> apart,
            long now) {
        DispatchRequest asked =
                new DispatchRequest(need, services.objective(need.service()), left, apart, now);
        return selector.select(asked, instances.values(), evacuated, allowed);
    }

    /** Notes that a request is sent. */
    public InFlightRequest requestSent(UpstreamId id, Need need, long now) {
        coldLimiter.recordSent(id, services.coldRequestsPerSecond(need.service()), now);
        backpressure.sent(id, now);
        InstanceLoad load = load(id);
        boolean alone = load.unreadTokens(services.prefillRate(need.service()), now) <= 0;
        InFlightRequest sending =
                new InFlightRequest(id, need, load.uncachedTokens(need), alone, now);
        load.requestSent(sending.uncachedTokens(), now);
        return sending;
    }

    /** Notes the first event, or the head of a plain answer, of a request that is served. */
    public void responseStarted(InFlightRequest sending, long now) {
        if (!sending.markAnswered()) {
            return;
        }
        InstanceLoad load = load(sending.instance());
        load.responseStarted(sending.uncachedTokens(), sending.startedAt());
        load.recordFirstEvent(
                sending.startedAt(), now, services.objective(sending.need().service()));
        if (sending.nothingUnread()) {
            services.prefillRate(sending.need().service())
                    .addSample(sending.uncachedTokens(), now - sending.startedAt());
        }
        load.resetBackoff();
        backpressure.answered(sending.instance(), sending.startedAt());
        sending.need().parts().forEach(part -> load.rememberPart(part.id(), now));
    }

    /**
     * Notes the head of an answer to a request that is not served. It comes at once, and so tells
     * nothing of how long work takes there: an instance that fails all it gets would look like the
     * quickest one, and draw most of what comes.
     *
     * @param taken whether the instance took the request in, rather than turn it away
     */
    public void errorResponseStarted(InFlightRequest sending, boolean taken) {
        load(sending.instance()).resetBackoff();
        if (taken) {
            backpressure.answered(sending.instance(), sending.startedAt());
        }
    }

    /** Notes that an instance wants nothing from this host for some time. */
    public void restRequested(UpstreamId id, Duration time, long now) {
        if (instances.containsKey(id)) {
            backpressure.wantsRest(id, time, now);
        }
    }

    /**
     * Notes that an instance has turned a request away and does not say for how long. An engine may
     * do so for the one model that is asked for, a plain service does so for all.
     */
    public void requestRejected(UpstreamId id, Need need, long now) {
        if (need.model().isPresent()) {
            modelMissing(id, need, now);
        } else if (instances.containsKey(id)) {
            backpressure.turnedAway(id, now);
        }
    }

    /**
     * Notes that a request is given up, and returns when its caller may come again: those that are
     * turned back for the same rest come one after the other.
     *
     * @param choice what the request was given up for
     * @param after when it is worth another try at the earliest
     */
    public Duration retryAfter(Choice choice, Duration after, long now) {
        if (choice instanceof Choice.Resting held && after.compareTo(held.left()) >= 0) {
            return backpressure.callerReturns(held.instance().id(), now);
        }
        return after;
    }

    /** Returns whether an instance wants nothing from this host at present. */
    public boolean isResting(UpstreamId id, long now) {
        return backpressure.rests(id, now);
    }

    /** Returns how many instances this host keeps away from, or is coming back to. */
    public int restingCount() {
        return backpressure.resting();
    }

    /** Returns whether a request that was chosen for an instance may still be written to it. */
    public boolean mayWrite(UpstreamId id, long now) {
        Instance instance = instances.get(id);
        return instance != null
                && instance.state() == InstanceState.READY
                && !backpressure.rests(id, now);
    }

    /** Notes that a request that was about to be sent was not written. */
    public void requestNotWritten(InFlightRequest sending, long now) {
        backpressure.notWritten(sending.instance());
        requestEnded(sending, now);
    }

    /** Notes that a request has left an instance, however. */
    public void requestEnded(InFlightRequest sending, long now) {
        if (!sending.markEnded()) {
            return;
        }
        InstanceLoad load = load(sending.instance());
        if (sending.markAnswered()) {
            load.responseStarted(sending.uncachedTokens(), sending.startedAt());
            load.unservedRequestEnded();
            backpressure.unanswered(sending.instance(), sending.startedAt());
        } else {
            load.servedRequestEnded(now - sending.startedAt());
        }
    }

    /** Notes that an instance has given a whole answer. */
    public void requestSucceeded(UpstreamId id) {
        load(id).recordOutcome(true);
    }

    /** Notes that an instance cannot be reached or breaks off. */
    public void connectionFailed(UpstreamId id, long now) {
        load(id).backOff(now);
        load(id).recordOutcome(false);
    }

    /** Notes that an instance has answered a request with a failure of its own. */
    public void requestFailed(UpstreamId id) {
        load(id).recordOutcome(false);
    }

    /** Takes in how many requests an instance runs and queues, for all hosts together. */
    public void updateReportedLoad(UpstreamId id, int runningAndWaiting, long now) {
        load(id).updateReported(runningAndWaiting, now);
    }

    /** Takes in how many requests the other hosts have at each instance. */
    public void updateRemoteRequests(Map<UpstreamId, Integer> work, long now) {
        for (UpstreamId id : instances.keySet()) {
            load(id).updateRemoteRequests(work.getOrDefault(id, 0), now);
        }
    }

    /** Takes in how many tokens of the other hosts' prompts each instance has not read yet. */
    public void updateRemoteUnreadTokens(Map<UpstreamId, Integer> tokens, long now) {
        for (UpstreamId id : instances.keySet()) {
            load(id).updateRemoteUnreadTokens(tokens.getOrDefault(id, 0), now);
        }
    }

    /** Returns how many tokens of this host's prompts each instance has not read yet. */
    public Map<UpstreamId, Integer> unreadTokens() {
        Map<UpstreamId, Integer> all = new HashMap<>();
        loads.forEach(
                (id, load) -> {
                    if (load.ownUnreadTokens() > 0) {
                        all.put(id, (int) Math.min(Integer.MAX_VALUE, load.ownUnreadTokens()));
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

    /** Nothing is kept of an instance that is not known, whose requests may still come back. */
    private InstanceLoad load(UpstreamId id) {
        return instances.containsKey(id)
                ? loads.computeIfAbsent(id, key -> new InstanceLoad())
                : new InstanceLoad();
    }
}
