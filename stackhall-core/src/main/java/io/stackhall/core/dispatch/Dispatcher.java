package io.stackhall.core.dispatch;

import io.stackhall.core.backpressure.Backpressure;
import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.overload.LoopDelayMeter;
import io.stackhall.core.quarantine.CrashCause;
import io.stackhall.core.route.EngineSpec;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Picks the instance for each request of one host, by where models are resident, where parts of the
 * prompt were processed before, and how much work each instance has.
 *
 * <p>Times named {@code now} are on the monotonic clock, in nanoseconds. Unread tokens are prompt
 * tokens that an engine has received but not processed yet. The first event is the first one of a
 * streamed answer, or the head of a plain one.
 *
 * <p>Not thread-safe: used by one thread.
 */
public final class Dispatcher {

    private final LoopDelayMeter hostDelay;
    private final Map<UpstreamId, Instance> instances = new LinkedHashMap<>();
    private final Map<UpstreamId, InstanceLoad> loads = new HashMap<>();
    private final ResidencyEstimate residency = new ResidencyEstimate();
    private final ServiceProfiles services = new ServiceProfiles();
    private EvacuatedZones evacuated = EvacuatedZones.none();
    private final ColdInstanceLimiter coldLimiter;
    private final Backpressure backpressure;
    private final InstanceSelector selector;

    /** Creates a dispatcher of a host that does not measure its delay: it counts as none. */
    public Dispatcher(ZoneId zone, Backpressure backpressure, RandomGenerator random) {
        this(zone, backpressure, new LoopDelayMeter(), random);
    }

    /**
     * Creates a dispatcher that knows no instances.
     *
     * @param zone the zone of this host
     * @param backpressure the limits and rests that instances have asked of this host
     * @param hostDelay the delay of this host, which is not attributed to the instances
     */
    public Dispatcher(
            ZoneId zone,
            Backpressure backpressure,
            LoopDelayMeter hostDelay,
            RandomGenerator random) {
        this.hostDelay = hostDelay;
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

    /** Replaces the engine specifications of all services. */
    public void setEngines(Map<ServiceName, EngineSpec> next) {
        services.setEngines(next);
    }

    /** Replaces the number of requests per second that a cold instance of each service handles. */
    public void setColdRequestsPerSecond(Map<ServiceName, Double> next) {
        services.setColdRequestsPerSecond(next);
    }

    /** Sets the number of hosts, which share cold instances and the limits of instances. */
    public void setHostCount(int hosts) {
        coldLimiter.setHostCount(hosts);
        backpressure.setHostCount(hosts);
    }

    /** Replaces the set of zones whose instances get no requests. */
    public void setEvacuatedZones(EvacuatedZones next) {
        evacuated = next;
    }

    /** Replaces the shortest latency objective of the routes that lead to each service. */
    public void setObjectives(Map<ServiceName, Duration> next) {
        services.setObjectives(next);
    }

    /** Updates what is known of an instance, or removes it if it is gone. */
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
     * Records that an instance has loaded, or is about to unload, a model or an adapter, before its
     * next report.
     *
     * @param adapter the adapter, or empty if the model itself is loaded or unloaded
     */
    public void updateResidency(
            UpstreamId id, ModelId model, Optional<String> adapter, boolean resident, long now) {
        if (instances.containsKey(id)) {
            residency.override(id, model, adapter, resident, now);
        }
    }

    /**
     * Records that an instance has started to load a model.
     *
     * @param within the duration of the load
     */
    public void loadStarted(UpstreamId id, ModelId model, Duration within, long now) {
        if (instances.containsKey(id)) {
            residency.loadStarted(id, model, within, now);
        }
    }

    /** Records that an instance has rejected a request because it lacks the model or adapter. */
    public void modelMissing(UpstreamId id, Need need, long now) {
        if (need.model().isPresent()) {
            updateResidency(id, need.model().get(), need.adapter(), false, now);
        }
    }

    /** Returns all known instances. */
    public Collection<Instance> instances() {
        return instances.values();
    }

    public Optional<Instance> find(UpstreamId id) {
        return Optional.ofNullable(instances.get(id));
    }

    /**
     * Decides where a request goes.
     *
     * @param allowed the instances that it may be sent to
     * @param late whether its answer can no longer meet the latency objective
     */
    public Choice choose(Need need, Predicate<UpstreamId> allowed, boolean late, long now) {
        return choose(need, allowed, late, Optional.empty(), now);
    }

    /**
     * Decides where a request goes.
     *
     * @param allowed the instances that it may be sent to
     * @param remaining what remains of its latency objective; not positive if its answer can only
     *     be late
     */
    public Choice choose(Need need, Predicate<UpstreamId> allowed, Duration remaining, long now) {
        return choose(need, allowed, remaining, Optional.empty(), now);
    }

    /**
     * Decides where a request goes.
     *
     * @param allowed the instances that it may be sent to
     * @param late whether its answer can no longer meet the latency objective
     * @param suspect the possible cause of crashes by which an isolated request picks its instance,
     *     whatever the load: every request with it picks the same instance on any host
     */
    public Choice choose(
            Need need,
            Predicate<UpstreamId> allowed,
            boolean late,
            Optional<CrashCause> suspect,
            long now) {
        Duration remaining = late ? Duration.ZERO : services.objective(need.service());
        return choose(need, allowed, remaining, suspect, now);
    }

    private Choice choose(
            Need need,
            Predicate<UpstreamId> allowed,
            Duration remaining,
            Optional<CrashCause> suspect,
            long now) {
        DispatchRequest request =
                new DispatchRequest(
                        need, services.objective(need.service()), remaining, suspect, now);
        return selector.select(request, instances.values(), evacuated, allowed);
    }

    /** Records that a request is sent, and returns its handle for the later calls about it. */
    public InFlightRequest requestSent(UpstreamId id, Need need, long now) {
        coldLimiter.recordSent(id, services.coldRequestsPerSecond(need.service()), now);
        backpressure.sent(id, now);
        InstanceLoad load = load(id);
        InFlightRequest inFlight =
                InFlightRequest.of(id, need, load, services.prefillRate(need.service()), now);
        load.requestSent(inFlight.uncachedTokens(), now);
        return inFlight;
    }

    /** Records the first event of a request that is served. */
    public void responseStarted(InFlightRequest inFlight, long now) {
        if (!inFlight.markAnswered()) {
            return;
        }
        InstanceLoad load = load(inFlight.instance());
        load.responseStarted(inFlight.uncachedTokens(), inFlight.startedAt());
        ServiceName service = inFlight.need().service();
        long nanos = inFlight.upstreamNanos(hostDelay, now);
        load.recordFirstEvent(nanos, services.objective(service), now);
        if (inFlight.isMostlyUpstreamTime(nanos, now)) {
            load.recordPrefill(services.prefillRate(service), inFlight, nanos, now);
        }
        load.resetBackoff();
        backpressure.answered(inFlight.instance(), inFlight.startedAt());
        inFlight.need().parts().forEach(part -> load.rememberPart(part.id(), now));
    }

    /**
     * Records the head of an error answer. Its latency is not sampled: errors come at once and say
     * nothing about how long work takes there. An instance that fails every request would otherwise
     * look like the fastest one and attract most of the traffic.
     *
     * @param taken whether the instance accepted the request before it failed, rather than
     *     rejecting it
     */
    public void errorResponseStarted(InFlightRequest inFlight, boolean taken) {
        load(inFlight.instance()).resetBackoff();
        if (taken) {
            backpressure.answered(inFlight.instance(), inFlight.startedAt());
        }
    }

    /** Records that an instance has asked this host to send nothing for the given time. */
    public void recordRest(UpstreamId id, Duration time, long now) {
        if (instances.containsKey(id)) {
            backpressure.startRest(id, time, now);
        }
    }

    /**
     * Records that an instance has rejected a request without a retry time. For an engine this may
     * concern only the requested model; for a plain service it concerns all requests.
     */
    public void requestRejected(UpstreamId id, Need need, long now) {
        if (need.model().isPresent()) {
            modelMissing(id, need, now);
        } else if (instances.containsKey(id)) {
            backpressure.refused(id, now);
        }
    }

    /**
     * Returns when the caller of a refused request should retry. Callers that are refused because
     * of the same rest are spread out over time.
     *
     * @param choice the choice because of which the request was refused
     * @param after the earliest time at which a retry makes sense
     */
    public Duration retryAfter(Choice choice, Duration after, long now) {
        if (choice instanceof Choice.Resting resting && after.compareTo(resting.left()) >= 0) {
            return backpressure.callerRetryDelay(resting.instance().id(), now);
        }
        return after;
    }

    /** Returns whether an instance has asked this host to send nothing at present. */
    public boolean isResting(UpstreamId id, long now) {
        return backpressure.isResting(id, now);
    }

    /** Returns how many instances this host avoids for a rest, or is ramping up after one. */
    public int restingCount() {
        return backpressure.resting();
    }

    /** Returns whether a request for which an instance was chosen may still be written to it. */
    public boolean mayWrite(UpstreamId id, long now) {
        Instance instance = instances.get(id);
        return instance != null
                && instance.state() == InstanceState.READY
                && !backpressure.isResting(id, now);
    }

    /** Records that a request counted as sent was not written after all. */
    public void requestNotWritten(InFlightRequest inFlight, long now) {
        backpressure.notWritten(inFlight.instance());
        requestEnded(inFlight, now);
    }

    /** Records that a request has left its instance; further calls have no effect. */
    public void requestEnded(InFlightRequest inFlight, long now) {
        if (!inFlight.markEnded()) {
            return;
        }
        InstanceLoad load = load(inFlight.instance());
        backpressure.ended(inFlight.instance());
        if (inFlight.markAnswered()) {
            load.responseStarted(inFlight.uncachedTokens(), inFlight.startedAt());
            load.unservedRequestEnded();
            backpressure.unanswered(inFlight.instance(), inFlight.startedAt());
        } else {
            load.servedRequestEnded(inFlight.upstreamNanos(hostDelay, now), now);
        }
    }

    /** Records that an instance has completed an answer. */
    public void requestSucceeded(UpstreamId id) {
        load(id).recordOutcome(true);
    }

    /** Records that an instance is unreachable or has broken off a connection. */
    public void connectionFailed(UpstreamId id, long now) {
        load(id).backOff(now);
        load(id).recordOutcome(false);
    }

    /** Records that an instance has answered a request with an error of its own. */
    public void requestFailed(UpstreamId id) {
        load(id).recordOutcome(false);
    }

    /**
     * Records the load that an instance reports of itself.
     *
     * @param runningAndWaiting the requests of all hosts that it runs or queues
     * @param slowdown how many times as long as usual its work takes, if it reports this
     */
    public void updateReportedLoad(
            UpstreamId id, int runningAndWaiting, OptionalDouble slowdown, long now) {
        load(id).updateReported(runningAndWaiting, slowdown, now);
    }

    /** Records how many requests the other hosts have at each instance. */
    public void updateRemoteRequests(Map<UpstreamId, Integer> work, long now) {
        for (UpstreamId id : instances.keySet()) {
            load(id).updateRemoteRequests(work.getOrDefault(id, 0), now);
        }
    }

    /** Records how many prompt tokens of the other hosts each instance has yet to process. */
    public void updateRemoteUnreadTokens(Map<UpstreamId, Integer> tokens, long now) {
        for (UpstreamId id : instances.keySet()) {
            load(id).updateRemoteUnreadTokens(tokens.getOrDefault(id, 0), now);
        }
    }

    /**
     * Returns how many prompt tokens of this host each instance has yet to process; instances with
     * none are left out.
     */
    public Map<UpstreamId, Integer> unreadTokens() {
        Map<UpstreamId, Integer> all = new HashMap<>();
        loads.forEach(
                (id, load) ->
                        all.put(id, Math.clamp(load.ownUnreadTokens(), 0, Integer.MAX_VALUE)));
        all.values().removeIf(tokens -> tokens == 0);
        return all;
    }

    /** Returns the work of this host at each instance, and the answers since the last call. */
    public Map<UpstreamId, InstanceWork> takeWork() {
        Map<UpstreamId, InstanceWork> all = new HashMap<>();
        loads.forEach((id, load) -> all.put(id, load.takeWork()));
        all.values().removeIf(InstanceWork::isNothing);
        return all;
    }

    /** Returns the estimated number of requests that an instance runs or queues, from all hosts. */
    public double occupancy(UpstreamId id, long now) {
        return load(id).occupancy(now);
    }

    /**
     * Returns the load of an instance. Requests of an instance that is gone may still end; they get
     * a load that is not stored.
     */
    private InstanceLoad load(UpstreamId id) {
        return instances.containsKey(id)
                ? loads.computeIfAbsent(id, key -> new InstanceLoad(hostDelay))
                : new InstanceLoad(hostDelay);
    }
}
