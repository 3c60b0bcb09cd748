package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.plainInstance;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
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
 * Simulates requests that arrive in batches, from many hosts that each send little, to the
 * instances of a service that runs no models. Instances may be slow for a while and report their
 * load with each answer; hosts report their work to each other. Times are in milliseconds.
 */
final class PlainServiceReplay {

    private static final long LENGTH = 30_000;
    private static final int QUEUE_CAPACITY = 6;
    private static final long REPORT_INTERVAL = 250;
    private static final long RECHECK_INTERVAL = 25;
    private static final long SLOW_INTERVAL = 600;
    private static final double SLOW_SHARE = 0.15;
    private static final double SLOW_FACTOR = 2.5;

    /** The span over which the requests of each instance are compared. */
    private static final long SHARE_INTERVAL = 1_000;

    /** What instances report of themselves in each answer. */
    enum Report {
        /** Nothing. */
        NONE,
        /** The requests that they run and queue. */
        LOAD,
        /** The requests that they run and queue, and how long work takes there at present. */
        SLOWDOWN
    }

    /**
     * The parameters of a simulation. Hosts and instances are assigned to the zones in turn.
     *
     * @param slots the number of requests that an instance runs at once
     * @param load arrivals as a share of the capacity of all slots, without slowdowns
     * @param batch the number of requests that arrive together at one host
     * @param slow whether each instance is slow for some of the time
     * @param durations how many times as long as usual work takes at each instance
     */
    record Plan(
            int hosts,
            int zones,
            int slots,
            long serviceTime,
            long objective,
            double load,
            int batch,
            boolean slow,
            Report report,
            List<Double> durations) {

        private double perMilli() {
            return load * durations.size() * slots / serviceTime;
        }
    }

    private final Plan plan;
    private final Random random;
    private final Random slowness;
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private final Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
    private final PriorityQueue<Job> running;
    private final List<Job> waiting = new ArrayList<>();
    private int arrived;
    private int inTime;
    private int rejected;
    private int ownZone;
    private int leastInInterval = Integer.MAX_VALUE;

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
        private final ZoneId zone;
        private final double duration;
        private double slowdown = 1;
        private int busy;
        private int sent;
        private int sentInInterval;
        private final Deque<Job> queue = new ArrayDeque<>();

        private Upstream(ZoneId zone, double duration) {
            this.zone = zone;
            this.duration = duration;
        }
    }

    /**
     * The results.
     *
     * @param inTime share of the requests that were answered within the latency objective
     * @param rejected share of the requests that were rejected
     * @param ownZone share of the requests that stayed in the zone of their host
     * @param leastInInterval the minimum number of requests that an instance got in one second
     * @param sent share of the requests that each instance got
     */
    record Outcome(
            double inTime,
            double rejected,
            double ownZone,
            int leastInInterval,
            List<Double> sent) {}

    PlainServiceReplay(long seed, Plan plan) {
        this.plan = plan;
        this.random = new Random(seed);
        this.slowness = new Random(seed + 1_000_000);
        ToLongFunction<Job> end = job -> job.endsAt;
        this.running =
                new PriorityQueue<>(
                        (one, other) -> Long.compare(end.applyAsLong(one), end.applyAsLong(other)));
        for (int host = 0; host < plan.hosts(); host++) {
            dispatchers.add(Dispatchers.of(zone(host), new Random(seed * 1000 + host)));
        }
        for (int number = 0; number < plan.durations().size(); number++) {
            ZoneId zone = zone(number);
            Instance instance = plainInstance(zone.value(), "p" + number, plan.slots());
            upstreams.put(instance.id(), new Upstream(zone, plan.durations().get(number)));
            dispatchers.forEach(dispatcher -> dispatcher.updateInstance(instance));
        }
    }

    private ZoneId zone(int number) {
        return new ZoneId("zone-" + number % plan.zones());
    }

    Outcome simulate() {
        for (long now = 1; now < LENGTH; now++) {
            end(now);
            if (now % REPORT_INTERVAL == 0) {
                exchangeReports(now);
            }
            if (plan.slow() && now % SLOW_INTERVAL == 0) {
                upstreams.values().forEach(this::drawSlowdown);
            }
            if (random.nextDouble() < plan.perMilli() / plan.batch()) {
                int host = random.nextInt(plan.hosts());
                for (int one = 0; one < plan.batch(); one++) {
                    arrive(new Job(host, now), now);
                }
            }
            if (now % RECHECK_INTERVAL == 0) {
                long at = now;
                waiting.removeIf(job -> send(job, at));
            }
            if (now % SHARE_INTERVAL == 0) {
                upstreams.values().forEach(this::countInterval);
            }
        }
        double all = arrived;
        return new Outcome(
                inTime / all,
                rejected / all,
                ownZone / all,
                leastInInterval,
                upstreams.values().stream().map(upstream -> upstream.sent / all).toList());
    }

    private void drawSlowdown(Upstream upstream) {
        upstream.slowdown = slowness.nextDouble() < SLOW_SHARE ? SLOW_FACTOR : 1;
    }

    private void countInterval(Upstream upstream) {
        leastInInterval = Math.min(leastInInterval, upstream.sentInInterval);
        upstream.sentInInterval = 0;
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
        if (upstream.busy >= plan.slots() && upstream.queue.size() >= QUEUE_CAPACITY) {
            rejected++;
            reportLoad(dispatcher, id, upstream, now);
            return true;
        }
        upstream.sent++;
        upstream.sentInInterval++;
        ownZone += upstream.zone.equals(zone(job.host)) ? 1 : 0;
        job.inFlight = dispatcher.requestSent(id, need(), nanos(now));
        if (upstream.busy < plan.slots()) {
            run(upstream, job, now);
        } else {
            upstream.queue.addLast(job);
        }
        return true;
    }

    private void run(Upstream upstream, Job job, long now) {
        upstream.busy++;
        double mean = plan.serviceTime() * upstream.slowdown * upstream.duration;
        long time = Math.round(-Math.log(1 - random.nextDouble()) * mean);
        job.endsAt = now + Math.max(1, time);
        running.add(job);
    }

    private void reportLoad(Dispatcher dispatcher, UpstreamId id, Upstream upstream, long now) {
        if (plan.report() == Report.NONE) {
            return;
        }
        OptionalDouble slowdown =
                plan.report() == Report.SLOWDOWN
                        ? OptionalDouble.of(upstream.slowdown)
                        : OptionalDouble.empty();
        dispatcher.updateReportedLoad(
                id, upstream.busy + upstream.queue.size(), slowdown, nanos(now));
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
            reportLoad(dispatcher, id, upstream, now);
            inTime += now - job.arrivedAt <= plan.objective() ? 1 : 0;
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
