package io.stackhall.core.admission;

import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.Priority;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.core.routing.Ending;
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
 * Decides for one entry host which request is sent where and when, and which is refused.
 *
 * <p>What cannot be answered within its deadline is refused at once, with the time after which it
 * is worth asking again. A failed attempt is tried again only if it is proved not run or the
 * request is repeatable, nothing of an answer has reached the caller, and the retry budget allows
 * it.
 *
 * @see Router
 */
public final class TrafficDirector {

    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
    private static final int LONGEST_RETRY_AFTER_SECONDS = 60;
    private static final int RETRY_RESERVE = 10;

    private final AdmissionSettings settings;
    private final Router router;
    private final RetryBudget retries;
    private final WaitingLines lines = new WaitingLines();
    private final ServiceTimes times = new ServiceTimes();
    private final DrainTimes drains = new DrainTimes();
    private final Map<RequestId, Waiting> known = new HashMap<>();
    private final Map<ModelId, Integer> arrivals = new HashMap<>();
    private final List<TrafficEffect> effects = new ArrayList<>();

    /** Creates a director over a router that it alone uses. */
    public TrafficDirector(AdmissionSettings settings, Router router) {
        this.settings = settings;
        this.router = router;
        this.retries = new RetryBudget(settings.retryShare(), RETRY_RESERVE);
    }

    /**
     * Takes one event.
     *
     * @param event what has happened
     * @param now the monotonic clock, in nanoseconds
     * @return what to do, in order
     */
    public List<TrafficEffect> step(TrafficEvent event, long now) {
        switch (event) {
            case TrafficEvent.Arrived(Arrival arrival) -> arrive(arrival, now);
            case TrafficEvent.Withdrawn(RequestId id) -> withdraw(id, now);
            case TrafficEvent.Ended ended -> end(ended, now);
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
                refuseHopeless(now);
                dispatchAll(now);
            }
        }
        List<TrafficEffect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /** Returns and forgets how many requests for each model came since the last call. */
    public Map<ModelId, Integer> drainArrivals() {
        Map<ModelId, Integer> drained = Map.copyOf(arrivals);
        arrivals.clear();
        return drained;
    }

    /** Returns how many requests wait for each model. */
    public Map<ModelId, Integer> waitingByModel() {
        return lines.waitingByModel();
    }

    /** Returns how many requests wait. */
    public int waiting() {
        return lines.size();
    }

    /** Returns how many requests are with upstreams. */
    public int running() {
        return known.size() - lines.size();
    }

    private void arrive(Arrival arrival, long now) {
        if (arrival.target() instanceof Target.Model(ModelId model)) {
            arrivals.merge(model, 1, Integer::sum);
        }
        Optional<Refusal> refusal = refusalOf(arrival, now);
        if (refusal.isPresent()) {
            refuse(new Waiting(arrival), refusal.get(), now);
            return;
        }
        Waiting waiting = new Waiting(arrival);
        known.put(arrival.id(), waiting);
        retries.attempted();
        lines.add(waiting);
        dispatchAll(now);
    }

    private Optional<Refusal> refusalOf(Arrival arrival, long now) {
        boolean crowded =
                lines.size() >= settings.maxWaiting()
                        || lines.ofCaller(arrival.caller()) >= settings.maxWaitingPerCaller();
        if (crowded) {
            return Optional.of(Refusal.QUEUE_FULL);
        }
        boolean service = arrival.target() instanceof Target.Service;
        if (service && !router.reachable(arrival.routing(List.of()), now)) {
            return Optional.of(Refusal.UNREACHABLE);
        }
        long ready = now + expectedWait(arrival, now) + times.cautiousNanos(arrival.target());
        return ready - arrival.deadline() > 0 ? Optional.of(Refusal.DEADLINE) : Optional.empty();
    }

    /** The wait behind the line's backlog, as it has drained lately, or by the upstreams' slots. */
    private long expectedWait(Arrival arrival, long now) {
        Target target = arrival.target();
        int ownLine = lines.line(target, arrival.priority()).map(FairQueue::size).orElse(0);
        int slots = router.slots(arrival.routing(List.of()), now);
        if (ownLine == 0 || slots == 0) {
            return 0;
        }
        int ahead = lines.ahead(target, arrival.priority());
        long bySlots = ahead * times.expectedNanos(target) / slots;
        return drains.waitBehind(target, arrival.priority(), ownLine).orElse(bySlots);
    }

    private void withdraw(RequestId id, long now) {
        Waiting waiting = known.get(id);
        if (waiting != null && !waiting.running()) {
            known.remove(id);
            lines.remove(waiting);
        } else if (waiting != null) {
            known.remove(id);
            router.ended(waiting.ended(false), Ending.WITHDRAWN, now);
            dispatchAll(now);
        }
    }

    private void end(TrafficEvent.Ended ended, long now) {
        Waiting waiting = known.get(ended.id());
        if (waiting == null || !waiting.running()) {
            return;
        }
        boolean notRun = ended.outcome() instanceof RequestOutcome.NotRun;
        UpstreamId upstream = waiting.ended(notRun);
        router.ended(upstream, ended.ending(), now);
        Target target = waiting.arrival().target();
        if (ended.outcome() instanceof RequestOutcome.Ran) {
            known.remove(ended.id());
            times.observe(target, now - waiting.sentAt());
        } else if (ended.answered()) {
            known.remove(ended.id());
        } else {
            retryOrRefuse(waiting, notRun, now);
        }
        dispatchAll(now);
    }

    private void retryOrRefuse(Waiting waiting, boolean notRun, long now) {
        Arrival arrival = waiting.arrival();
        boolean safe = notRun || arrival.repeatable();
        boolean inTime = now + times.expectedNanos(arrival.target()) - arrival.deadline() <= 0;
        boolean again =
                safe && inTime && waiting.attempts() < settings.maxAttempts() && retries.tryRetry();
        if (again) {
            lines.add(waiting);
        } else {
            known.remove(arrival.id());
            refuse(waiting, Refusal.FAILED, now);
        }
    }

    private void refuseHopeless(long now) {
        for (Waiting waiting : lines.all()) {
            Arrival arrival = waiting.arrival();
            long ready = now + times.cautiousNanos(arrival.target());
            if (ready - arrival.deadline() > 0) {
                lines.remove(waiting);
                known.remove(arrival.id());
                refuse(waiting, Refusal.DEADLINE, now);
            }
        }
    }

    /** Serves the most urgent first, and among equals one request of each target in turn. */
    private void dispatchAll(long now) {
        for (Priority priority : Priority.values()) {
            List<Target> open = new ArrayList<>(lines.targets());
            while (!open.isEmpty()) {
                open.removeIf(target -> !dispatchOne(target, priority, now));
            }
        }
    }

    private boolean dispatchOne(Target target, Priority priority, long now) {
        Optional<FairQueue> line = lines.line(target, priority);
        return line.isPresent() && !line.get().isEmpty() && dispatchNext(line.get(), now);
    }

    private boolean dispatchNext(FairQueue line, long now) {
        Waiting waiting = line.peek().orElseThrow();
        Arrival arrival = waiting.arrival();
        RoutingRequest request = arrival.routing(waiting.failedOn());
        if (!router.reachable(request, now)) {
            request = request.avoidingNone();
        }
        Optional<UpstreamId> chosen = router.choose(request, now);
        if (chosen.isEmpty()) {
            return false;
        }
        lines.take(line, waiting, (double) times.expectedNanos(arrival.target()));
        drains.dispatched(arrival.target(), arrival.priority(), line.size(), now);
        waiting.sent(chosen.get(), now);
        router.sent(chosen.get());
        String address = router.announcement(chosen.get()).orElseThrow().address();
        effects.add(new TrafficEffect.Dispatch(arrival.id(), chosen.get(), address));
        return true;
    }

    private void refuse(Waiting waiting, Refusal refusal, long now) {
        RequestOutcome outcome =
                waiting.maybeRan()
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
        return (int) Math.min(LONGEST_RETRY_AFTER_SECONDS, seconds);
    }
}
