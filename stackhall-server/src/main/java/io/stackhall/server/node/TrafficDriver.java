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

/** Runs the traffic director on one thread and brings its decisions to whoever waits for them. */
public final class TrafficDriver implements AutoCloseable {

    private static final long TICK_MILLIS = 20;

    private final TrafficScheduler trafficScheduler;
    private final Map<RequestId, CompletableFuture<Decision>> pendingDecisions = new HashMap<>();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "traffic"));

    /** Creates a driver with standard routing. */
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

    /** What was decided for a request. */
    public sealed interface Decision {
        /** Send it there. */
        record Send(UpstreamId upstream, String address) implements Decision {}

        /** Give it its final answer. */
        record GiveUp(Refusal refusal, RequestOutcome outcome, int retryAfterSeconds)
                implements Decision {}
    }

    /** How much there is to do, and what was asked for since the last call. */
    public record Demand(
            Map<ModelId, Integer> arrivals,
            Map<ModelId, Integer> waitingByModel,
            int waiting,
            int running) {}

    /** Starts the clock. */
    public void start() {
        executor.scheduleAtFixedRate(
                () -> step(new TrafficEvent.Tick()),
                TICK_MILLIS,
                TICK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Asks for a request to be served. */
    public CompletableFuture<Decision> submit(Arrival arrival) {
        CompletableFuture<Decision> decision = new CompletableFuture<>();
        executor.execute(
                () -> {
                    pendingDecisions.put(arrival.id(), decision);
                    step(new TrafficEvent.Arrived(arrival));
                });
        return decision;
    }

    /** Tells that an attempt served its request, or that nothing more can be done for it. */
    public void recordCompletion(RequestId id, AttemptResult ending, RequestOutcome outcome) {
        executor.execute(() -> step(new TrafficEvent.AttemptEnded(id, ending, outcome, true)));
    }

    /** Tells that an attempt failed before anything reached the caller, and asks what now. */
    public CompletableFuture<Decision> recordFailure(
            RequestId id, AttemptResult ending, RequestOutcome why) {
        CompletableFuture<Decision> decision = new CompletableFuture<>();
        executor.execute(
                () -> {
                    pendingDecisions.put(id, decision);
                    step(new TrafficEvent.AttemptEnded(id, ending, why, false));
                });
        return decision;
    }

    /** Tells that a request's caller has gone. */
    public void withdraw(RequestId id) {
        executor.execute(
                () -> {
                    pendingDecisions.remove(id);
                    step(new TrafficEvent.Withdrawn(id));
                });
    }

    /** Takes an upstream's announcement. */
    public void receiveAnnouncement(Announcement announcement) {
        executor.execute(() -> step(new TrafficEvent.Announced(announcement)));
    }

    /** Forgets an upstream. */
    public void removeUpstream(UpstreamId upstream) {
        executor.execute(() -> step(new TrafficEvent.UpstreamLost(upstream)));
    }

    /** Takes what another zone's host says of its zone. */
    public void receiveNeighbourAnnouncement(Announcement announcement) {
        executor.execute(() -> step(new TrafficEvent.NeighbourAnnounced(announcement)));
    }

    /** Forgets another zone's host. */
    public void removeNeighbour(UpstreamId neighbour) {
        executor.execute(() -> step(new TrafficEvent.NeighbourLost(neighbour)));
    }

    /** Takes the configuration in force. */
    public void applyConfiguration(Configuration configuration) {
        executor.execute(() -> step(new TrafficEvent.Configured(configuration)));
    }

    /** Returns what was asked for since the last call, and what waits. */
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

    /** Counts requests within this process, from reception to the end of the answer. */
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
        CompletableFuture<Decision> waiting = pendingDecisions.remove(id);
        if (waiting != null) {
            waiting.complete(decision);
        }
    }
}
