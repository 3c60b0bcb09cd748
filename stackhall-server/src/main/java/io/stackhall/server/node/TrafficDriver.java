package io.stackhall.server.node;

import io.stackhall.core.admission.AdmissionSettings;
import io.stackhall.core.admission.Arrival;
import io.stackhall.core.admission.Refusal;
import io.stackhall.core.admission.TrafficEffect;
import io.stackhall.core.admission.TrafficEvent;
import io.stackhall.core.admission.TrafficScheduler;
import io.stackhall.core.config.Configuration;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.core.routing.AttemptResult;
import io.stackhall.core.routing.Router;
import io.stackhall.core.routing.RoutingSettings;
import io.stackhall.server.clock.BootClock;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/** Runs the traffic scheduler on one thread and completes the futures of its decisions. */
public final class TrafficDriver implements AutoCloseable {

    private static final long TICK_MILLIS = 20;

    private final TrafficScheduler trafficScheduler;
    private final Map<RequestId, CompletableFuture<Decision>> pendingDecisions = new HashMap<>();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "traffic"));

    /**
     * Creates a driver with standard routing settings.
     *
     * @param maxWaiting maximum number of waiting requests at this host
     */
    public TrafficDriver(int maxWaiting, RandomGenerator random) {
        AdmissionSettings standard = AdmissionSettings.standard();
        AdmissionSettings settings =
                new AdmissionSettings(
                        maxWaiting,
                        Math.max(1, maxWaiting / 2),
                        standard.retryShare(),
                        standard.maxAttempts());
        this.trafficScheduler =
                new TrafficScheduler(settings, new Router(RoutingSettings.standard(), random));
    }

    /** The decision on a request. */
    public sealed interface Decision {
        /** Send the request to this upstream. */
        record Send(UpstreamId upstream, String address) implements Decision {}

        /** Answer the request with this refusal. */
        record GiveUp(Refusal refusal, RequestOutcome outcome, int retryAfterSeconds)
                implements Decision {}
    }

    /**
     * The demand at this host.
     *
     * @param arrivals requests that have arrived since the last call, by model
     * @param waitingByModel requests that wait for an upstream, by model
     * @param waiting all requests that wait for an upstream
     * @param running requests that have been dispatched and have not ended
     */
    public record Demand(
            Map<ModelId, Integer> arrivals,
            Map<ModelId, Integer> waitingByModel,
            int waiting,
            int running) {}

    /** Starts the periodic ticks. */
    public void start() {
        executor.scheduleAtFixedRate(
                () -> step(new TrafficEvent.Tick()),
                TICK_MILLIS,
                TICK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Submits a request; the future completes with the decision on it. */
    public CompletableFuture<Decision> submit(Arrival arrival) {
        CompletableFuture<Decision> decision = new CompletableFuture<>();
        executor.execute(
                () -> {
                    pendingDecisions.put(arrival.id(), decision);
                    step(new TrafficEvent.Arrived(arrival));
                });
        return decision;
    }

    /** Records that an attempt has ended and that its request needs no further decision. */
    public void recordCompletion(RequestId id, AttemptResult result, RequestOutcome outcome) {
        executor.execute(() -> step(new TrafficEvent.AttemptEnded(id, result, outcome, true)));
    }

    /**
     * Records that an attempt failed before any part of an answer reached the caller; the future
     * completes with the next decision.
     */
    public CompletableFuture<Decision> recordFailure(
            RequestId id, AttemptResult result, RequestOutcome outcome) {
        CompletableFuture<Decision> decision = new CompletableFuture<>();
        executor.execute(
                () -> {
                    pendingDecisions.put(id, decision);
                    step(new TrafficEvent.AttemptEnded(id, result, outcome, false));
                });
        return decision;
    }

    /** Withdraws a request whose caller has disconnected; its pending decision never completes. */
    public void withdraw(RequestId id) {
        executor.execute(
                () -> {
                    pendingDecisions.remove(id);
                    step(new TrafficEvent.Withdrawn(id));
                });
    }

    /** Submits an upstream's announcement. */
    public void receiveAnnouncement(Announcement announcement) {
        executor.execute(() -> step(new TrafficEvent.Announced(announcement)));
    }

    /** Removes an upstream that has timed out. */
    public void removeUpstream(UpstreamId upstream) {
        executor.execute(() -> step(new TrafficEvent.UpstreamLost(upstream)));
    }

    /** Submits the announcement of a host of another zone for its zone. */
    public void receiveNeighbourAnnouncement(Announcement announcement) {
        executor.execute(() -> step(new TrafficEvent.NeighbourAnnounced(announcement)));
    }

    /** Removes a host of another zone that has timed out. */
    public void removeNeighbour(UpstreamId neighbour) {
        executor.execute(() -> step(new TrafficEvent.NeighbourLost(neighbour)));
    }

    /** Applies the active configuration. */
    public void applyConfiguration(Configuration configuration) {
        executor.execute(() -> step(new TrafficEvent.Configured(configuration)));
    }

    /** Returns the demand and resets the arrivals. */
    public CompletableFuture<Demand> drainDemand() {
        return CompletableFuture.supplyAsync(
                () ->
                        new Demand(
                                trafficScheduler.drainArrivals(),
                                trafficScheduler.waitingByModel(),
                                trafficScheduler.waiting(),
                                trafficScheduler.running()),
                executor);
    }

    /** Returns the counter of requests in this process, from reception to the end of the answer. */
    public AtomicInteger inFlight() {
        return inFlight;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void step(TrafficEvent event) {
        for (TrafficEffect effect : trafficScheduler.step(event, BootClock.nanos())) {
            switch (effect) {
                case TrafficEffect.Dispatch(RequestId id, UpstreamId upstream, String address) ->
                        completeDecision(id, new Decision.Send(upstream, address));
                case TrafficEffect.Refuse refuse ->
                        completeDecision(
                                refuse.id(),
                                new Decision.GiveUp(
                                        refuse.refusal(),
                                        refuse.outcome(),
                                        refuse.retryAfterSeconds()));
            }
        }
    }

    private void completeDecision(RequestId id, Decision decision) {
        CompletableFuture<Decision> pending = pendingDecisions.remove(id);
        if (pending != null) {
            pending.complete(decision);
        }
    }
}
