package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.instance;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates a surge of demand at many hosts for a model of which one engine has a copy; further
 * copies are loaded one after another. Engines process prompts one after another. Times are in
 * milliseconds.
 */
class ManyHostsReplay {

    private static final long LENGTH = 8000;
    private static final long OBJECTIVE = 800;
    private static final long RECHECK_INTERVAL = 25;

    /** The time that callers wait, less the time that a send needs. */
    static final long DEADLINE = 4650;

    private static final int PROMPT_TOKENS = 1800;
    private static final double TOKENS_PER_MILLI = 19;
    private static final long FIRST_COPY_AFTER = 1200;
    private static final long COPY_EVERY = 600;
    private static final int COPIES = 6;

    private final long seed;
    private final Random random;
    private final int hosts;
    private final double perSecond;
    private final boolean shareUnread;
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private final Map<UpstreamId, Long> busyUntil = new HashMap<>();
    private final PriorityQueue<PromptCompletion> completions =
            new PriorityQueue<>((one, other) -> Long.compare(one.at(), other.at()));
    private final List<Waiting> waiting = new ArrayList<>();
    private int arrived;
    private int inTime;
    private int refused;
    private long refusedWaitMillis;

    /** The time at which an engine completes a prompt. */
    private record PromptCompletion(long at, Waiting request, InFlightRequest inFlight) {}

    /**
     * What a request asks for.
     *
     * @param objective the latency objective
     * @param deadline the time that its caller waits, less the time that a send needs
     */
    record Kind(Need need, long objective, long deadline) {}

    /** A request that waits at its host. */
    record Waiting(int host, long arrivedAt, Kind kind, Admission admission) {}

    /**
     * The results.
     *
     * @param inTime the share of requests whose first event meets the latency objective
     * @param refusedWaitMillis the mean time that refused requests waited before they were refused
     */
    record Outcome(double inTime, double refusedWaitMillis) {}

    /**
     * Creates a simulation.
     *
     * @param shareUnread whether hosts report their unread prompt tokens to each other
     */
    ManyHostsReplay(long seed, int hosts, double perSecond, boolean shareUnread) {
        this.seed = seed;
        this.random = new Random(seed);
        this.hosts = hosts;
        this.perSecond = perSecond;
        this.shareUnread = shareUnread;
    }

    /** Runs the simulation to its end. */
    Outcome simulate() {
        for (int host = 0; host < hosts; host++) {
            dispatchers.add(dispatcher(host, new Random(seed * 1000 + host)));
        }
        for (long now = 1; now < length(); now++) {
            changeEngines(now);
            completePrompts(now);
            exchangeReports(now);
            arrive(now);
            if (now % RECHECK_INTERVAL == 0) {
                recheckWaiting(now);
            }
        }
        return new Outcome(
                (double) inTime / arrived, (double) refusedWaitMillis / Math.max(1, refused));
    }

    /** Returns the length of the simulation. */
    long length() {
        return LENGTH;
    }

    /** Creates the dispatcher of one host. */
    Dispatcher dispatcher(int host, Random draws) {
        Dispatcher dispatcher = Dispatchers.of(draws);
        dispatcher.setEngines(Map.of(SERVICE, spec(64, weights("m"))));
        dispatcher.setObjectives(Map.of(SERVICE, Duration.ofMillis(OBJECTIVE)));
        warmUp(dispatcher);
        return dispatcher;
    }

    /** Returns engines with these slots and models. */
    static EngineSpec spec(int slots, ModelWeights... models) {
        return new EngineSpec(
                slots, 93_922, 300, 2, 1, 200, 600, EngineSpec.byName(List.of(models)));
    }

    static ModelWeights weights(String model) {
        return new ModelWeights(
                new ModelId(model),
                100,
                List.of(),
                1,
                Duration.ofSeconds(8),
                Duration.ofMillis(1700),
                Duration.ofMillis(800));
    }

    /** Lets the host measure the rate at which engines process prompts. */
    private static void warmUp(Dispatcher dispatcher) {
        dispatcher.updateInstance(instance("warm", 1, "other"));
        for (int count = 0; count < 8; count++) {
            InFlightRequest inFlight = dispatcher.requestSent(new UpstreamId("warm"), need(), 0);
            long nanos = nanos(Math.round(PROMPT_TOKENS / TOKENS_PER_MILLI));
            dispatcher.responseStarted(inFlight, nanos);
            dispatcher.requestEnded(inFlight, nanos);
        }
    }

    /** Adds the copies that are loaded at this time. */
    void changeEngines(long now) {
        long since = now - FIRST_COPY_AFTER;
        boolean further = since >= 0 && since % COPY_EVERY == 0 && since / COPY_EVERY < COPIES - 1;
        if (now == 1 || further) {
            String name = now == 1 ? "a0" : "a" + (1 + since / COPY_EVERY);
            dispatchers.forEach(dispatcher -> dispatcher.updateInstance(instance(name, 1, "m")));
            busyUntil.put(new UpstreamId(name), now);
        }
    }

    /** Ends the prompts that engines have processed by now. */
    void completePrompts(long now) {
        while (!completions.isEmpty() && completions.peek().at() <= now) {
            PromptCompletion completion = completions.poll();
            Dispatcher dispatcher = dispatchers.get(completion.request().host());
            dispatcher.responseStarted(completion.inFlight(), nanos(now));
            dispatcher.requestEnded(completion.inFlight(), nanos(now));
            countFirstEvent(completion.request(), now);
        }
    }

    /** Counts a request whose first event arrives now. */
    void countFirstEvent(Waiting request, long now) {
        inTime += now - request.arrivedAt() <= request.kind().objective() ? 1 : 0;
    }

    /** Every 150 ms each host receives the totals that the other hosts have at that moment. */
    void exchangeReports(long now) {
        if (!shareUnread || now % 150 != 0) {
            return;
        }
        Map<UpstreamId, Integer> all = new HashMap<>();
        dispatchers.forEach(
                dispatcher ->
                        dispatcher
                                .unreadTokens()
                                .forEach((id, tokens) -> all.merge(id, tokens, Integer::sum)));
        for (Dispatcher dispatcher : dispatchers) {
            Map<UpstreamId, Integer> others = new HashMap<>(all);
            dispatcher
                    .unreadTokens()
                    .forEach((id, tokens) -> others.merge(id, -tokens, Integer::sum));
            dispatcher.updateRemoteUnreadTokens(others, nanos(now));
        }
    }

    private void arrive(long now) {
        if (random.nextDouble() < perSecond / 1000) {
            arrived++;
            Kind kind = nextKind();
            Admission admission = new Admission(nanos(now + kind.deadline()));
            Waiting request = new Waiting(random.nextInt(hosts), now, kind, admission);
            countArrival(request);
            if (!isSettled(request, now)) {
                waiting.add(request);
            }
        }
    }

    /** Returns what the next request asks for. */
    Kind nextKind() {
        return new Kind(need(), OBJECTIVE, DEADLINE);
    }

    /** Counts a request that has arrived. */
    void countArrival(Waiting request) {}

    private void recheckWaiting(long now) {
        waiting.sort(
                (one, other) ->
                        Boolean.compare(isLate(one, now), isLate(other, now)) != 0
                                ? Boolean.compare(isLate(one, now), isLate(other, now))
                                : Long.compare(one.arrivedAt(), other.arrivedAt()));
        for (Waiting request : List.copyOf(waiting)) {
            if (isSettled(request, now)) {
                waiting.remove(request);
            }
        }
    }

    /** Sends or refuses a request, and returns whether either happened. */
    private boolean isSettled(Waiting request, long now) {
        Dispatcher dispatcher = dispatchers.get(request.host());
        Choice choice =
                dispatcher.choose(
                        request.kind().need(), id -> true, left(request, now), nanos(now));
        return switch (request.admission().decide(choice, ahead(request, now), nanos(now))) {
            case Admission.Verdict.Send(Instance instance, String why) -> {
                send(dispatcher, instance, request, now);
                yield true;
            }
            case Admission.Verdict.GiveUp giveUp -> {
                refused++;
                refusedWaitMillis += now - request.arrivedAt();
                yield true;
            }
            case Admission.Verdict.Wait wait -> false;
            case Admission.Verdict.WaitForAdapter wait -> false;
        };
    }

    private int ahead(Waiting request, long now) {
        int ahead = 0;
        for (Waiting other : waiting) {
            boolean before =
                    isLate(other, now) == isLate(request, now)
                            ? other.arrivedAt() < request.arrivedAt()
                            : isLate(request, now);
            ahead += !other.equals(request) && other.host() == request.host() && before ? 1 : 0;
        }
        return ahead;
    }

    /** Sends a request to an engine. */
    void send(Dispatcher dispatcher, Instance instance, Waiting request, long now) {
        UpstreamId engine = instance.id();
        InFlightRequest inFlight = dispatcher.requestSent(engine, need(), nanos(now));
        long startsAt = Math.max(now, busyUntil.get(engine));
        long at = startsAt + Math.round(PROMPT_TOKENS / TOKENS_PER_MILLI);
        busyUntil.put(engine, at);
        completions.add(new PromptCompletion(at, request, inFlight));
    }

    private static Duration left(Waiting request, long now) {
        long objective = request.kind().objective();
        long left = isLate(request, now) ? 0 : objective - (now - request.arrivedAt());
        return Duration.ofMillis(left);
    }

    private static boolean isLate(Waiting request, long now) {
        return now - request.arrivedAt() > request.kind().objective() * 7 / 8;
    }

    private static Need need() {
        return new Need(
                SERVICE,
                Optional.of(new ModelId("m")),
                Optional.empty(),
                List.of(),
                PROMPT_TOKENS,
                8,
                1);
    }

    Random random() {
        return random;
    }

    List<Dispatcher> dispatchers() {
        return dispatchers;
    }

    static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
