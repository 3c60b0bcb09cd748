package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.instance;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToLongFunction;

/**
 * Simulates requests that arrive in batches, from many hosts that each send little, to three
 * instances of a service that runs no models and is two thirds full. Each answer reports the load
 * of its instance; hosts report their work to each other. Times are in milliseconds.
 */
final class PlainServiceReplay {

    private static final long LENGTH = 30_000;
    private static final long OBJECTIVE = 389;
    private static final long MEAN_SERVICE_TIME = 86;
    private static final int QUEUE_CAPACITY = 6;
    private static final int BATCH_SIZE = 3;
    private static final long REPORT_INTERVAL = 250;
    private static final long RECHECK_INTERVAL = 25;

    private final Random random;
    private final int hosts;
    private final double perSecond;
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private final Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
    private final PriorityQueue<Job> running;
    private final List<Job> waiting = new ArrayList<>();
    private int arrived;
    private int inTime;
    private int rejected;

    /** One request. */
    private static final class Job {
        private final int host;
        private final long arrivedAt;
        private InFlightRequest inFlight;
        private long endsAt;

        private Job(int host, long arrivedAt) {
            this.host = host;
            this.arrivedAt = arrivedAt;
        }
    }

    /** One instance, which runs as many requests as it has slots and queues a few more. */
    private static final class Upstream {
        private final int slots;
        private int busy;
        private final Deque<Job> queue = new ArrayDeque<>();

        private Upstream(int slots) {
            this.slots = slots;
        }
    }

    /** The shares of requests in time and rejected. */
    record Outcome(double inTime, double rejected) {}

    PlainServiceReplay(long seed, int hosts, double perSecond, int instances) {
        this.random = new Random(seed);
        this.hosts = hosts;
        this.perSecond = perSecond;
        ToLongFunction<Job> end = job -> job.endsAt;
        this.running =
                new PriorityQueue<>(
                        (one, other) -> Long.compare(end.applyAsLong(one), end.applyAsLong(other)));
        for (int host = 0; host < hosts; host++) {
            dispatchers.add(Dispatchers.of(new Random(seed * 1000 + host)));
        }
        for (int number = 0; number < instances; number++) {
            Instance instance = instance("p" + number, 1, "m");
            upstreams.put(instance.id(), new Upstream(instance.slots()));
            dispatchers.forEach(dispatcher -> dispatcher.updateInstance(instance));
        }
    }

    /** Returns the number of requests that an instance runs at once. */
    static int slots() {
        return instance("p", 1, "m").slots();
    }

    Outcome simulate() {
        for (long now = 1; now < LENGTH; now++) {
            end(now);
            if (now % REPORT_INTERVAL == 0) {
                exchangeReports(now);
            }
            if (random.nextDouble() < perSecond / BATCH_SIZE / 1000) {
                int host = random.nextInt(hosts);
                for (int one = 0; one < BATCH_SIZE; one++) {
                    arrive(new Job(host, now), now);
                }
            }
            if (now % RECHECK_INTERVAL == 0) {
                long at = now;
                waiting.removeIf(job -> send(job, at));
            }
        }
        return new Outcome((double) inTime / arrived, (double) rejected / arrived);
    }

    private void arrive(Job job, long now) {
        arrived++;
        if (!send(job, now)) {
            waiting.add(job);
        }
    }

    private boolean send(Job job, long now) {
        Dispatcher dispatcher = dispatchers.get(job.host);
        Choice choice = dispatcher.choose(need(), id -> true, false, nanos(now));
        if (!(choice instanceof Choice.Send send)) {
            return false;
        }
        UpstreamId id = send.instance().id();
        Upstream upstream = upstreams.get(id);
        if (upstream.busy >= upstream.slots && upstream.queue.size() >= QUEUE_CAPACITY) {
            rejected++;
            dispatcher.updateReportedLoad(
                    id, upstream.busy + upstream.queue.size(), OptionalDouble.empty(), nanos(now));
            return true;
        }
        job.inFlight = dispatcher.requestSent(id, need(), nanos(now));
        if (upstream.busy < upstream.slots) {
            run(upstream, job, now);
        } else {
            upstream.queue.addLast(job);
        }
        return true;
    }

    private void run(Upstream upstream, Job job, long now) {
        upstream.busy++;
        job.endsAt =
                now
                        + Math.max(
                                1,
                                Math.round(-Math.log(1 - random.nextDouble()) * MEAN_SERVICE_TIME));
        running.add(job);
    }

    private void end(long now) {
        while (!running.isEmpty() && running.peek().endsAt <= now) {
            Job job = running.poll();
            UpstreamId id = job.inFlight.instance();
            Upstream upstream = upstreams.get(id);
            upstream.busy--;
            if (!upstream.queue.isEmpty()) {
                run(upstream, upstream.queue.removeFirst(), now);
            }
            Dispatcher dispatcher = dispatchers.get(job.host);
            dispatcher.responseStarted(job.inFlight, nanos(now));
            dispatcher.requestEnded(job.inFlight, nanos(now));
            dispatcher.updateReportedLoad(
                    id, upstream.busy + upstream.queue.size(), OptionalDouble.empty(), nanos(now));
            inTime += now - job.arrivedAt <= OBJECTIVE ? 1 : 0;
        }
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
        for (int host = 0; host < hosts; host++) {
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
