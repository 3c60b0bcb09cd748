package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.instanceInZone;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Simulates steady load on engines of different speeds in three zones, some of which are slowed
 * down at any time. Each engine processes prompts one after another while it generates the answers
 * of earlier ones. Each answer reports the load of its engine.
 */
final class MixedEnginesReplay extends ManyHostsReplay {

    /** Requests per second that the engines can process at their mean slowdown. */
    static final double CAPACITY_PER_SECOND = 560;

    private static final long LENGTH = 16_000;

    /** Requests that arrive before this time are not counted: hosts still learn the rates. */
    private static final long COUNTED_FROM = 5_000;

    private static final long COUNTED_UNTIL = 14_000;
    private static final double[] SPEEDS = {0.6, 1.0, 1.6};
    private static final String[] ZONES = {"plateau", "valley", "coast"};
    private static final int ENGINES = 21;
    private static final int SLOTS = 24;
    private static final int MODELS = 7;
    private static final int SLOWED_ENGINES = 3;
    private static final double SLOWDOWN = 2.5;
    private static final long SLOWDOWN_LENGTH = 600;
    private static final double TOKENS_PER_MILLI = 38;
    private static final double TOKENS_PER_RUNNING = 40;
    private static final double MEAN_ANSWER_MILLIS = 300;
    private static final long SHORT_OBJECTIVE = 400;
    private static final double SHORT_SHARE = 0.7;

    private final Random slowdowns;
    private final boolean reportSlowdown;
    private final ReportTiming timing;
    private final WorkReports requestReports = new WorkReports();
    private final WorkReports unreadReports = new WorkReports();
    private final Map<UpstreamId, Engine> engines = new LinkedHashMap<>();
    private int counted;
    private int countedInTime;
    private int countedShort;
    private int countedShortInTime;
    private int sent;
    private int sentToOtherZones;

    /** One engine. */
    private static final class Engine {
        private final Instance instance;
        private final double speed;
        private final Deque<Job> prompts = new ArrayDeque<>();
        private final List<Job> running = new ArrayList<>();
        private double slowdown = 1;

        private Engine(Instance instance, double speed) {
            this.instance = instance;
            this.speed = speed;
        }
    }

    /** One request at an engine. */
    private static final class Job {
        private final Waiting request;
        private final InFlightRequest inFlight;
        private double tokensLeft = -1;
        private double answerLeft;

        private Job(Waiting request, InFlightRequest inFlight, double answerLeft) {
            this.request = request;
            this.inFlight = inFlight;
            this.answerLeft = answerLeft;
        }
    }

    /**
     * The results.
     *
     * @param inTime the share of requests whose first event meets the latency objective
     * @param shortInTime the same, of the requests with the short objective
     * @param otherZone the share of sent requests that left the zone of their host
     */
    record Shares(double inTime, double shortInTime, double otherZone) {}

    /**
     * Creates a simulation.
     *
     * @param utilisation arrivals as a share of what the engines can process
     * @param reportSlowdown whether the engines report their slowdown
     */
    MixedEnginesReplay(long seed, int hosts, double utilisation, boolean reportSlowdown) {
        super(seed, hosts, utilisation * CAPACITY_PER_SECOND, true);
        this.slowdowns = new Random(seed);
        this.reportSlowdown = reportSlowdown;
        this.timing = new ReportTiming(hosts);
        requestReports.setHostCount(hosts);
        unreadReports.setHostCount(hosts);
        for (int number = 0; number < ENGINES; number++) {
            int inZone = number / ZONES.length;
            int zone = number % ZONES.length;
            String[] models = {"m" + inZone % MODELS, "m" + (inZone + 1) % MODELS};
            Instance instance = instanceInZone(ZONES[zone], "e" + number, 1, models);
            double speed = SPEEDS[(inZone + zone) % SPEEDS.length];
            engines.put(instance.id(), new Engine(instance, speed));
        }
    }

    Shares shares() {
        simulate();
        return new Shares(
                (double) countedInTime / counted,
                (double) countedShortInTime / countedShort,
                (double) sentToOtherZones / sent);
    }

    @Override
    long length() {
        return LENGTH;
    }

    @Override
    Dispatcher dispatcher(int host, Random draws) {
        Dispatcher dispatcher = Dispatchers.of(zone(host), draws);
        ModelWeights[] models =
                IntStream.range(0, MODELS)
                        .mapToObj(model -> weights("m" + model))
                        .toArray(ModelWeights[]::new);
        dispatcher.setEngines(Map.of(SERVICE, spec(SLOTS, models)));
        dispatcher.setObjectives(Map.of(SERVICE, Duration.ofMillis(SHORT_OBJECTIVE)));
        engines.values().forEach(engine -> dispatcher.updateInstance(engine.instance));
        return dispatcher;
    }

    private static ZoneId zone(int host) {
        return new ZoneId(ZONES[host % ZONES.length]);
    }

    /** Changes which engines are slowed down. */
    @Override
    void changeEngines(long now) {
        if (now % SLOWDOWN_LENGTH == 1) {
            List<Engine> all = new ArrayList<>(engines.values());
            Collections.shuffle(all, slowdowns);
            for (int number = 0; number < all.size(); number++) {
                all.get(number).slowdown = number < SLOWED_ENGINES ? SLOWDOWN : 1;
            }
        }
    }

    @Override
    Kind nextKind() {
        boolean isShort = random().nextDouble() < SHORT_SHARE;
        int tokens = isShort ? 200 + random().nextInt(1200) : 500 + random().nextInt(2000);
        Need need =
                new Need(
                        SERVICE,
                        Optional.of(new ModelId("m" + random().nextInt(MODELS))),
                        Optional.empty(),
                        List.of(),
                        tokens,
                        8,
                        isShort ? 0 : 1);
        return isShort ? new Kind(need, SHORT_OBJECTIVE, 4_000) : new Kind(need, 1_500, 12_000);
    }

    @Override
    void send(Dispatcher dispatcher, Instance instance, Waiting request, long now) {
        InFlightRequest inFlight =
                dispatcher.requestSent(instance.id(), request.kind().need(), nanos(now));
        double answer = -Math.log(1 - random().nextDouble()) * MEAN_ANSWER_MILLIS;
        engines.get(instance.id()).prompts.addLast(new Job(request, inFlight, answer));
        if (isCounted(request)) {
            sent++;
            sentToOtherZones += instance.zone().equals(zone(request.host())) ? 0 : 1;
        }
    }

    @Override
    void completePrompts(long now) {
        for (Engine engine : engines.values()) {
            double progress = engine.speed / engine.slowdown;
            for (Job job : List.copyOf(engine.running)) {
                job.answerLeft -= progress;
                if (job.answerLeft <= 0) {
                    engine.running.remove(job);
                    dispatcherOf(job).requestEnded(job.inFlight, nanos(now));
                    dispatcherOf(job).requestSucceeded(engine.instance.id());
                }
            }
            processPrompts(engine, progress * TOKENS_PER_MILLI, now);
        }
    }

    private void processPrompts(Engine engine, double tokens, long now) {
        double left = tokens;
        while (left > 0 && !engine.prompts.isEmpty() && engine.running.size() < SLOTS) {
            Job job = engine.prompts.peekFirst();
            if (job.tokensLeft < 0) {
                job.tokensLeft =
                        job.request.kind().need().promptTokens()
                                + TOKENS_PER_RUNNING * engine.running.size();
            }
            double processed = Math.min(left, job.tokensLeft);
            left -= processed;
            job.tokensLeft -= processed;
            if (job.tokensLeft <= 0) {
                engine.prompts.removeFirst();
                engine.running.add(job);
                startAnswer(engine, job, now);
            }
        }
    }

    private void startAnswer(Engine engine, Job job, long now) {
        OptionalDouble slowdown =
                reportSlowdown ? OptionalDouble.of(engine.slowdown) : OptionalDouble.empty();
        int requests = engine.running.size() + engine.prompts.size();
        dispatcherOf(job).updateReportedLoad(engine.instance.id(), requests, slowdown, nanos(now));
        dispatcherOf(job).responseStarted(job.inFlight, nanos(now));
        countFirstEvent(job.request, now);
    }

    private Dispatcher dispatcherOf(Job job) {
        return dispatchers().get(job.request.host());
    }

    /**
     * Each host reports its requests and unread tokens, and receives those that the others last
     * reported, at the interval for the number of hosts. Hosts take turns within the interval.
     */
    @Override
    void exchangeReports(long now) {
        long interval = timing.interval().toMillis();
        int hosts = dispatchers().size();
        for (int host = 0; host < hosts; host++) {
            if ((now + host * interval / hosts) % interval == 0) {
                exchangeReportsOf(host, now);
            }
        }
    }

    private void exchangeReportsOf(int host, long now) {
        Dispatcher dispatcher = dispatchers().get(host);
        HostId id = new HostId("entry-" + host);
        Map<UpstreamId, Integer> requests = new HashMap<>();
        dispatcher.takeWork().forEach((engine, work) -> requests.put(engine, work.requests()));
        requestReports.put(id, requests, nanos(now));
        unreadReports.put(id, dispatcher.unreadTokens(), nanos(now));
        dispatcher.updateRemoteRequests(requestReports.sumExcluding(id, nanos(now)), nanos(now));
        dispatcher.updateRemoteUnreadTokens(unreadReports.sumExcluding(id, nanos(now)), nanos(now));
    }

    @Override
    void countArrival(Waiting request) {
        boolean isShort = request.kind().objective() == SHORT_OBJECTIVE;
        counted += isCounted(request) ? 1 : 0;
        countedShort += isCounted(request) && isShort ? 1 : 0;
    }

    @Override
    void countFirstEvent(Waiting request, long now) {
        boolean inTime = now - request.arrivedAt() <= request.kind().objective();
        boolean isShort = request.kind().objective() == SHORT_OBJECTIVE;
        countedInTime += isCounted(request) && inTime ? 1 : 0;
        countedShortInTime += isCounted(request) && inTime && isShort ? 1 : 0;
    }

    private static boolean isCounted(Waiting request) {
        return request.arrivedAt() >= COUNTED_FROM && request.arrivedAt() < COUNTED_UNTIL;
    }
}
