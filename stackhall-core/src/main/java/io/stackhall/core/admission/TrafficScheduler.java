package io.stackhall.core.admission;

import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.Priority;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.core.routing.AttemptResult;
import io.stackhall.core.routing.RetryBudget;
import io.stackhall.core.routing.Router;
import io.stackhall.core.routing.RoutingRequest;
import io.stackhall.core.routing.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Schedules the requests of one entry host: which one is sent where and when, and which is refused.
 *
 * <p>A request that cannot be answered within its deadline is refused at once, with the time after
 * which a retry may succeed. A failed attempt is retried only if it is proved not run or the
 * request is repeatable, no part of an answer has reached the caller, and the retry budget allows
 * it.
 *
 * @see Router
 */
public final class TrafficScheduler {

    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
    private static final int MAX_RETRY_AFTER_SECONDS = 60;
    private static final int INITIAL_RETRIES = 10;

    private final AdmissionSettings settings;
    private final Router router;
    private final RetryBudget retries;
    private final RequestQueues queues = new RequestQueues();
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final DispatchIntervals dispatchIntervals = new DispatchIntervals();
    private final Map<RequestId, PendingRequest> pending = new HashMap<>();
    private final Map<ModelId, Integer> arrivals = new HashMap<>();
    private final List<TrafficEffect> effects = new ArrayList<>();

    /** Creates a scheduler over a router that nothing else uses. */
    public TrafficScheduler(AdmissionSettings settings, Router router) {
        this.settings = settings;
        this.router = router;
        this.retries = new RetryBudget(settings.retryShare(), INITIAL_RETRIES);
    }

    /**
     * Handles one event.
     *
     * @param event what has happened
     * @param now the monotonic clock, in nanoseconds
     * @return the actions to perform, in order
     */
    public List<TrafficEffect> step(TrafficEvent event, long now) {
        switch (event) {
            case TrafficEvent.Arrived(Arrival arrival) -> arrive(arrival, now);
            case TrafficEvent.Withdrawn(RequestId id) -> withdraw(id, now);
            case TrafficEvent.AttemptEnded ended -> end(ended, now);
            case TrafficEvent.Announced announced -> {
                router.announced(announced.announcement(), now);
                dispatchAll(now);
            }
            case TrafficEvent.UpstreamLost(UpstreamId upstream) -> router.lost(upstream);
            case TrafficEvent.NeighbourAnnounced(Announcement announcement) -> {
                router.neighbourAnnounced(announcement, now);
                dispatchAll(now);
            }
            case TrafficEvent.NeighbourLost(UpstreamId neighbour) ->
                    router.neighbourLost(neighbour);
            case TrafficEvent.Configured(Configuration configuration) ->
                    router.configured(configuration);
            case TrafficEvent.Tick() -> {
                refuseUnattainable(now);
                dispatchAll(now);
            }
        }
        List<TrafficEffect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /** Returns the number of requests that have arrived for each model since the last call. */
    public Map<ModelId, Integer> drainArrivals() {
        Map<ModelId, Integer> drained = Map.copyOf(arrivals);
        arrivals.clear();
        return drained;
    }

    /** Returns the number of waiting requests for each model. */
    public Map<ModelId, Integer> waitingByModel() {
        return queues.waitingByModel();
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return queues.size();
    }

    /** Returns the number of requests that run at upstreams. */
    public int running() {
        return pending.size() - queues.size();
    }

    private void arrive(Arrival arrival, long now) {
        if (arrival.target() instanceof Target.Model(ModelId model)) {
            arrivals.merge(model, 1, Integer::sum);
        }
        Optional<Refusal> refusal = checkAdmission(arrival, now);
        if (refusal.isPresent()) {
            refuse(new PendingRequest(arrival), refusal.get(), now);
            return;
        }
        PendingRequest waiting = new PendingRequest(arrival);
        pending.put(arrival.id(), waiting);
        retries.recordFirstAttempt();
        queues.add(waiting);
        dispatchAll(now);
    }

    private Optional<Refusal> checkAdmission(Arrival arrival, long now) {
        boolean full =
                queues.size() >= settings.maxWaiting()
                        || queues.countOfCaller(arrival.caller()) >= settings.maxWaitingPerCaller();
        if (full) {
            return Optional.of(Refusal.QUEUE_FULL);
        }
        boolean service = arrival.target() instanceof Target.Service;
        if (service && !router.reachable(arrival.routingRequest(List.of()), now)) {
            return Optional.of(Refusal.UNREACHABLE);
        }
        long ready =
                now + expectedWait(arrival, now) + serviceTimes.conservativeNanos(arrival.target());
        return ready - arrival.deadline() > 0 ? Optional.of(Refusal.DEADLINE) : Optional.empty();
    }

    /**
     * Returns the expected wait behind the queue's backlog, from recent dispatch intervals or else
     * from the slots of the upstreams.
     */
    private long expectedWait(Arrival arrival, long now) {
        Target target = arrival.target();
        int ownQueue = queues.queue(target, arrival.priority()).map(FairQueue::size).orElse(0);
        int slots = router.slots(arrival.routingRequest(List.of()), now);
        if (ownQueue == 0 || slots == 0) {
            return 0;
        }
        int ahead = queues.countAhead(target, arrival.priority());
        long bySlots = ahead * serviceTimes.expectedNanos(target) / slots;
        return dispatchIntervals.expectedWait(target, arrival.priority(), ownQueue).orElse(bySlots);
    }

    private void withdraw(RequestId id, long now) {
        PendingRequest waiting = pending.get(id);
        if (waiting != null && !waiting.running()) {
            pending.remove(id);
            queues.remove(waiting);
        } else if (waiting != null) {
            pending.remove(id);
            router.ended(waiting.ended(false), AttemptResult.WITHDRAWN, now);
            dispatchAll(now);
        }
    }

    private void end(TrafficEvent.AttemptEnded ended, long now) {
        PendingRequest waiting = pending.get(ended.id());
        if (waiting == null || !waiting.running()) {
            return;
        }
        boolean notRun = ended.outcome() instanceof RequestOutcome.NotRun;
        UpstreamId upstream = waiting.ended(notRun);
        router.ended(upstream, ended.result(), now);
        Target target = waiting.arrival().target();
        if (ended.outcome() instanceof RequestOutcome.Ran) {
            pending.remove(ended.id());
            serviceTimes.observe(target, now - waiting.sentAt());
        } else if (ended.answered()) {
            pending.remove(ended.id());
        } else {
            retryOrRefuse(waiting, notRun, now);
        }
        dispatchAll(now);
    }

    private void retryOrRefuse(PendingRequest waiting, boolean notRun, long now) {
        Arrival arrival = waiting.arrival();
        boolean safe = notRun || arrival.repeatable();
        boolean inTime =
                now + serviceTimes.expectedNanos(arrival.target()) - arrival.deadline() <= 0;
        boolean retry =
                safe && inTime && waiting.attempts() < settings.maxAttempts() && retries.tryRetry();
        if (retry) {
            queues.add(waiting);
        } else {
            pending.remove(arrival.id());
            refuse(waiting, Refusal.FAILED, now);
        }
    }

    private void refuseUnattainable(long now) {
        for (PendingRequest waiting : queues.all()) {
            Arrival arrival = waiting.arrival();
            long ready = now + serviceTimes.conservativeNanos(arrival.target());
            if (ready - arrival.deadline() > 0) {
                queues.remove(waiting);
                pending.remove(arrival.id());
                refuse(waiting, Refusal.DEADLINE, now);
            }
        }
    }

    /** Dispatches by priority, and within a priority one request of each target in turn. */
    private void dispatchAll(long now) {
        for (Priority priority : Priority.values()) {
            List<Target> targets = new ArrayList<>(queues.targets());
            while (!targets.isEmpty()) {
                targets.removeIf(target -> !dispatchOne(target, priority, now));
            }
        }
    }

    private boolean dispatchOne(Target target, Priority priority, long now) {
        Optional<FairQueue> queue = queues.queue(target, priority);
        return queue.isPresent() && !queue.get().isEmpty() && dispatchNext(queue.get(), now);
    }

    private boolean dispatchNext(FairQueue queue, long now) {
        PendingRequest waiting = queue.peek().orElseThrow();
        Arrival arrival = waiting.arrival();
        RoutingRequest request = arrival.routingRequest(waiting.failedOn());
        if (!router.reachable(request, now)) {
            request = request.avoidingNone();
        }
        Optional<UpstreamId> chosen = router.choose(request, now);
        if (chosen.isEmpty()) {
            return false;
        }
        queues.take(queue, waiting, (double) serviceTimes.expectedNanos(arrival.target()));
        dispatchIntervals.dispatched(arrival.target(), arrival.priority(), queue.size(), now);
        waiting.sent(chosen.get(), now);
        router.sent(chosen.get());
        String address = router.announcement(chosen.get()).orElseThrow().address();
        effects.add(new TrafficEffect.Dispatch(arrival.id(), chosen.get(), address));
        return true;
    }

    private void refuse(PendingRequest waiting, Refusal refusal, long now) {
        RequestOutcome outcome =
                waiting.mayHaveRun()
                        ? new RequestOutcome.Unknown("an attempt gave no whole answer")
                        : new RequestOutcome.NotRun(refusal.name());
        effects.add(
                new TrafficEffect.Refuse(
                        waiting.arrival().id(),
                        refusal,
                        outcome,
                        retryAfterSeconds(waiting.arrival(), now)));
    }

    private int retryAfterSeconds(Arrival arrival, long now) {
        long seconds = expectedWait(arrival, now) / NANOS_PER_SECOND + 1;
        return (int) Math.min(MAX_RETRY_AFTER_SECONDS, seconds);
    }
}
