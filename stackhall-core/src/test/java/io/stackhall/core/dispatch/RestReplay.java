package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.instance;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates callers of a service that runs no models, spread over many hosts, while some of its
 * instances are overloaded and reject all requests for a while. Rejected requests go on to other
 * instances; callers that are refused retry once, at the time that they were given. Times are in
 * milliseconds.
 */
final class RestReplay {

    private static final long LENGTH = 30_000;
    private static final long OVERLOAD_FROM = 5_000;
    private static final long OVERLOAD_UNTIL = 15_000;
    private static final long OBJECTIVE = 389;
    private static final long DEADLINE = 4_000;
    private static final long MEAN_SERVICE_TIME = 86;
    private static final int QUEUE_CAPACITY = 6;
    private static final long REPORT_INTERVAL = 250;
    private static final long RECHECK_INTERVAL = 25;
    private static final long REJECTION_TIME = 1;

    /** How overloaded instances answer. */
    enum Answer {
        /** They reject requests and ask for a rest. */
        REST,
        /** They reject requests without asking for a rest. */
        REJECT,
        /** They answer each request with an error at once. */
        ERROR
    }

    /**
     * The parameters of a simulation.
     *
     * @param load arrivals as a share of the capacity of all slots
     */
    record Plan(
            int hosts, int instances, int overloaded, double load, Answer answer, Duration rest) {}

    /**
     * The results.
     *
     * @param inTime share of the callers that were served within the latency objective
     * @param served share of the callers that were served at all
     * @param inTimeInOverload the same as inTime, of callers that first arrived during the overload
     * @param rejected requests that overloaded instances rejected or answered with an error
     * @param maxInRest the maximum number of requests of one host that arrived during one of its
     *     rests
     * @param recoverySeconds seconds from the end of the overload until the overloaded instances
     *     had their share of requests again
     */
    record Outcome(
            double inTime,
            double served,
            double inTimeInOverload,
            int rejected,
            int maxInRest,
            double recoverySeconds) {}

    private final Plan plan;
    private final Random random;
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private final Map<UpstreamId, Upstream> upstreams = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final List<Job> waiting = new ArrayList<>();
    private long order;
    private int arrived;
    private int inTime;
    private int served;
    private int arrivedInOverload;
    private int inTimeInOverload;
    private int rejected;
    private int maxInRest;
    private final Map<Long, int[]> shares = new TreeMap<>();

    private record Event(long at, long order, Runnable what) {}

    /** One request of a caller, or its retry. */
    private static final class Job {
        private final int host;
        private final long firstArrivedAt;
        private final long arrivedAt;
        private final boolean retry;
        private Admission admission;
        private final Set<UpstreamId> rejectedBy = new HashSet<>();
        private InFlightRequest inFlight;

        private Job(int host, long firstArrivedAt, long arrivedAt, boolean retry) {
            this.host = host;
            this.firstArrivedAt = firstArrivedAt;
            this.arrivedAt = arrivedAt;
            this.retry = retry;
            this.admission = admission();
        }

        private Admission admission() {
            return new Admission(nanos(arrivedAt + DEADLINE), nanos(arrivedAt + OBJECTIVE));
        }
    }

    /** One instance, which runs as many requests as it has slots and queues a few more. */
    private static final class Upstream {
        private final int slots;
        private final boolean overloaded;
        private int busy;
        private final Deque<Job> queue = new ArrayDeque<>();
        private final Map<Integer, long[]> rests = new HashMap<>();

        private Upstream(int slots, boolean overloaded) {
            this.slots = slots;
            this.overloaded = overloaded;
        }
    }

    RestReplay(long seed, Plan plan) {
        this.plan = plan;
        this.random = new Random(seed);
        for (int host = 0; host < plan.hosts(); host++) {
            dispatchers.add(Dispatchers.of(new Random(seed * 1000 + host)));
        }
        for (int number = 0; number < plan.instances(); number++) {
            Instance instance = instance("p" + number, 1, "m");
            upstreams.put(
                    instance.id(), new Upstream(instance.slots(), number < plan.overloaded()));
            dispatchers.forEach(dispatcher -> dispatcher.updateInstance(instance));
        }
    }

    Outcome simulate() {
        double perMilli =
                plan.load()
                        * plan.instances()
                        * instance("p", 1, "m").slots()
                        / (double) MEAN_SERVICE_TIME;
        for (long at = 1; at < LENGTH; at++) {
            while (!events.isEmpty() && events.peek().at() <= at) {
                events.poll().what().run();
            }
            if (at % REPORT_INTERVAL == 0) {
                exchangeReports(at);
            }
            for (int due = 0; due < 1 + (int) perMilli; due++) {
                if (random.nextDouble() < perMilli - due) {
                    arrive(new Job(random.nextInt(plan.hosts()), at, at, false), at);
                }
            }
            if (at % RECHECK_INTERVAL == 0) {
                long now = at;
                waiting.removeIf(job -> isSettled(job, now));
            }
        }
        return new Outcome(
                (double) inTime / arrived,
                (double) served / arrived,
                (double) inTimeInOverload / arrivedInOverload,
                rejected,
                maxInRest,
                recoverySeconds());
    }

    private double recoverySeconds() {
        double fair = (double) plan.overloaded() / plan.instances();
        for (Map.Entry<Long, int[]> period : shares.entrySet()) {
            int[] counts = period.getValue();
            boolean after = period.getKey() * 250 >= OVERLOAD_UNTIL;
            if (after && counts[1] >= 0.8 * fair * counts[0]) {
                return (period.getKey() * 250 - OVERLOAD_UNTIL) / 1000.0;
            }
        }
        return Double.NaN;
    }

    private static boolean isOverloadTime(long at) {
        return at >= OVERLOAD_FROM && at < OVERLOAD_UNTIL;
    }

    private void at(long moment, Runnable what) {
        events.add(new Event(moment, order++, what));
    }

    private void arrive(Job job, long now) {
        if (!job.retry) {
            arrived++;
            arrivedInOverload += isOverloadTime(job.firstArrivedAt) ? 1 : 0;
        }
        if (!isSettled(job, now)) {
            waiting.add(job);
        }
    }

    private boolean isSettled(Job job, long now) {
        Dispatcher dispatcher = dispatchers.get(job.host);
        Duration left = Duration.ofMillis(Math.max(0, job.arrivedAt + OBJECTIVE - now));
        Choice choice =
                dispatcher.choose(need(), id -> !job.rejectedBy.contains(id), left, nanos(now));
        return switch (job.admission.decide(choice, 0, nanos(now))) {
            case Admission.Verdict.Send(Instance instance, String why) -> {
                send(job, instance.id(), now);
                yield true;
            }
            case Admission.Verdict.GiveUp(String reason, Duration after) -> {
                refuseCaller(job, dispatcher.retryAfter(choice, after, nanos(now)), now);
                yield true;
            }
            default -> false;
        };
    }

    private void refuseCaller(Job job, Duration after, long now) {
        long retryAt = now + Math.max(1, after.toMillis());
        if (!job.retry && retryAt < LENGTH) {
            at(
                    retryAt,
                    () -> arrive(new Job(job.host, job.firstArrivedAt, retryAt, true), retryAt));
        }
    }

    private void send(Job job, UpstreamId id, long now) {
        Upstream upstream = upstreams.get(id);
        job.inFlight = dispatchers.get(job.host).requestSent(id, need(), nanos(now));
        count(upstream, now);
        long[] rest = upstream.rests.get(job.host);
        if (rest != null && now >= rest[0] + 500 && now < rest[1]) {
            rest[2]++;
            maxInRest = (int) Math.max(maxInRest, rest[2]);
        }
        boolean full = upstream.busy >= upstream.slots && upstream.queue.size() >= QUEUE_CAPACITY;
        if (upstream.overloaded && isOverloadTime(now)) {
            rejected++;
            at(now + REJECTION_TIME, () -> answerOverloaded(job, id, now + REJECTION_TIME));
        } else if (full) {
            at(now + REJECTION_TIME, () -> reject(job, id, Optional.empty(), now + REJECTION_TIME));
        } else if (upstream.busy < upstream.slots) {
            run(upstream, job, now);
        } else {
            upstream.queue.addLast(job);
        }
    }

    private void count(Upstream upstream, long now) {
        int[] counts = shares.computeIfAbsent(now / 250, key -> new int[2]);
        counts[0]++;
        counts[1] += upstream.overloaded ? 1 : 0;
    }

    private void answerOverloaded(Job job, UpstreamId id, long now) {
        if (plan.answer() == Answer.ERROR) {
            Dispatcher dispatcher = dispatchers.get(job.host);
            dispatcher.errorResponseStarted(job.inFlight, true);
            dispatcher.requestEnded(job.inFlight, nanos(now));
            dispatcher.requestFailed(id);
            return;
        }
        boolean rests = plan.answer() == Answer.REST;
        if (rests) {
            long end = now + plan.rest().toMillis();
            upstreams
                    .get(id)
                    .rests
                    .merge(
                            job.host,
                            new long[] {now, end, 0},
                            (known, next) ->
                                    now < known[1] ? new long[] {known[0], end, known[2]} : next);
        }
        reject(job, id, rests ? Optional.of(plan.rest()) : Optional.empty(), now);
    }

    private void reject(Job job, UpstreamId id, Optional<Duration> rest, long now) {
        Dispatcher dispatcher = dispatchers.get(job.host);
        dispatcher.errorResponseStarted(job.inFlight, false);
        rest.ifPresent(time -> dispatcher.recordRest(id, time, nanos(now)));
        dispatcher.requestEnded(job.inFlight, nanos(now));
        if (rest.isEmpty()) {
            dispatcher.requestRejected(id, need(), nanos(now));
            job.rejectedBy.add(id);
        }
        job.admission = job.admission();
        if (!isSettled(job, now)) {
            waiting.add(job);
        }
    }

    private void run(Upstream upstream, Job job, long now) {
        upstream.busy++;
        long end =
                now
                        + Math.max(
                                1,
                                Math.round(-Math.log(1 - random.nextDouble()) * MEAN_SERVICE_TIME));
        at(end, () -> end(upstream, job, end));
    }

    private void end(Upstream upstream, Job job, long now) {
        upstream.busy--;
        if (!upstream.queue.isEmpty()) {
            run(upstream, upstream.queue.removeFirst(), now);
        }
        Dispatcher dispatcher = dispatchers.get(job.host);
        UpstreamId id = job.inFlight.instance();
        dispatcher.responseStarted(job.inFlight, nanos(now));
        dispatcher.requestEnded(job.inFlight, nanos(now));
        dispatcher.requestSucceeded(id);
        dispatcher.updateReportedLoad(
                id, upstream.busy + upstream.queue.size(), OptionalDouble.empty(), nanos(now));
        served++;
        boolean met = now - job.firstArrivedAt <= OBJECTIVE;
        inTime += met ? 1 : 0;
        inTimeInOverload += met && isOverloadTime(job.firstArrivedAt) ? 1 : 0;
    }

    private void exchangeReports(long now) {
        Map<UpstreamId, Integer> all = new HashMap<>();
        List<Map<UpstreamId, Integer>> own = new ArrayList<>();
        for (Dispatcher dispatcher : dispatchers) {
            Map<UpstreamId, Integer> work = new HashMap<>();
            dispatcher.takeWork().forEach((id, one) -> work.put(id, one.requests()));
            work.forEach((id, count) -> all.merge(id, count, Integer::sum));
            own.add(work);
        }
        for (int host = 0; host < plan.hosts(); host++) {
            Map<UpstreamId, Integer> others = new HashMap<>(all);
            own.get(host).forEach((id, count) -> others.merge(id, -count, Integer::sum));
            dispatchers.get(host).updateRemoteRequests(others, nanos(now));
        }
    }

    private static Need need() {
        return new Need(SERVICE, Optional.empty(), Optional.empty(), List.of(), 0, 0, 1);
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
