package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Replays a load in which some requests end the instances that begin them, with the ledgers and
 * trials of several hosts and a word that takes its time. Times in milliseconds.
 */
final class CrashSimulation {

    private static final int INSTANCES = 13;
    private static final int LENGTH = 20_000;
    private static final int INNOCENT_EVERY = 20;
    private static final int FATAL_EVERY = 300;
    private static final int RUN_TIME = 300;
    private static final int ANSWER_BEGINS_AFTER = 100;
    private static final int CRASHES_AFTER = 140;
    private static final int RESTART_TIME = 3_500;
    private static final int RETRY_DELAY = 60;
    private static final int RECHECK_INTERVAL = 25;
    private static final int MAX_WAIT = 800;
    private static final int LATE_AFTER = 3_000;

    /** How often an innocent request comes in all, if its instances end. */
    private static final int MAX_ATTEMPTS = 4;

    /**
     * What a replay is about.
     *
     * @param hosts how many hosts take requests
     * @param fatal how many requests end instances
     * @param word until another host has heard
     * @param remembers whether anything is held against requests
     * @param spontaneous how often an instance ends under nobody, 0 for never
     */
    record Scenario(
            int hosts,
            int fatal,
            int noticeDelay,
            boolean usesLedger,
            int spontaneousCrashInterval) {}

    /**
     * What came of it.
     *
     * @param most the most lives that ended under one request
     * @param late ends under one request later than the time in which word spreads after the third
     * @param innocent innocent requests
     * @param served of these, how many were served at any of their tries
     * @param blamed of these, how many were refused as if they ended instances
     */
    record Result(int maxCrashes, int lateCrashes, int innocent, int served, int wronglyRefused) {}

    private record Event(long at, long order, Runnable action) {}

    /** One try of a request. */
    private static final class Attempt {
        private final RequestDigest request;
        private final boolean fatal;
        private final int number;
        private final int host;
        private final long arrivedAt;
        private boolean over;

        private Attempt(RequestDigest request, boolean fatal, int tries, int host, long came) {
            this.request = request;
            this.fatal = fatal;
            this.number = tries;
            this.host = host;
            this.arrivedAt = came;
        }
    }

    private final Scenario scenario;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final List<CrashLedger> ledgers = new ArrayList<>();
    private final List<SuspectIsolation> isolations = new ArrayList<>();
    private final int[] incarnations = new int[INSTANCES];
    private final long[] upAt = new long[INSTANCES];
    private final Map<UpstreamId, Set<Attempt>> running = new HashMap<>();
    private final Map<RequestDigest, List<Long>> crashTimes = new HashMap<>();
    private long now;
    private long order;
    private int innocent;
    private int served;
    private int wronglyRefused;

    private CrashSimulation(Scenario setting, long seed) {
        this.scenario = setting;
        this.random = new Random(seed);
        for (int host = 0; host < setting.hosts(); host++) {
            ledgers.add(new CrashLedger());
            isolations.add(new SuspectIsolation());
        }
    }

    static Result run(Scenario setting, long seed) {
        return new CrashSimulation(setting, seed).run();
    }

    private Result run() {
        for (int at = 0; at < LENGTH; at += INNOCENT_EVERY) {
            RequestDigest request = CrashLedgerTest.digest("innocent" + at);
            schedule(at, () -> arrive(request, false, 1));
            innocent++;
        }
        for (int number = 0; number < scenario.fatal(); number++) {
            RequestDigest request = CrashLedgerTest.digest("fatal" + number);
            for (int at = 2_000 + 37 * number; at < LENGTH; at += FATAL_EVERY) {
                schedule(at + random.nextInt(FATAL_EVERY), () -> arrive(request, true, 1));
            }
        }
        for (int at = scenario.spontaneousCrashInterval();
                at > 0 && at < LENGTH;
                at += scenario.spontaneousCrashInterval()) {
            schedule(at, () -> crashInstance(random.nextInt(INSTANCES)));
        }
        while (!events.isEmpty()) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        int most = crashTimes.values().stream().mapToInt(List::size).max().orElse(0);
        int late = crashTimes.values().stream().mapToInt(CrashSimulation::countLate).sum();
        return new Result(most, late, innocent, served, wronglyRefused);
    }

    private static int countLate(List<Long> times) {
        return times.size() < 3
                ? 0
                : (int) times.stream().filter(at -> at > times.get(2) + LATE_AFTER).count();
    }

    private void arrive(RequestDigest request, boolean fatal, int tries) {
        int host = random.nextInt(scenario.hosts());
        tryDispatch(new Attempt(request, fatal, tries, host, now));
    }

    private void tryDispatch(Attempt one) {
        Standing standing =
                scenario.usesLedger()
                        ? ledgers.get(one.host).standing(one.request, nanos())
                        : new Standing.Clear();
        boolean suspect = standing instanceof Standing.Suspect;
        if (standing instanceof Standing.Condemned) {
            wronglyRefused += one.fatal ? 0 : 1;
            return;
        }
        Optional<UpstreamId> instance = choose(one, suspect);
        if (instance.isPresent()) {
            send(one, instance.get(), suspect);
        } else if (now - one.arrivedAt < MAX_WAIT) {
            schedule(now + RECHECK_INTERVAL, () -> tryDispatch(one));
        }
    }

    private Optional<UpstreamId> choose(Attempt one, boolean suspect) {
        List<UpstreamId> up =
                IntStream.range(0, INSTANCES)
                        .filter(number -> upAt[number] <= now)
                        .mapToObj(this::incarnation)
                        .toList();
        SuspectIsolation here = isolations.get(one.host);
        if (!suspect) {
            return up.isEmpty() ? Optional.empty() : Optional.of(up.get(random.nextInt(up.size())));
        }
        if (here.isRunning(one.request)) {
            return Optional.empty();
        }
        return up.stream()
                .filter(id -> !here.isOccupied(id))
                .min(Comparator.comparingLong(id -> SuspectIsolation.rank(one.request, id)));
    }

    private void send(Attempt one, UpstreamId instance, boolean suspect) {
        running.computeIfAbsent(instance, key -> new LinkedHashSet<>()).add(one);
        if (suspect) {
            isolations.get(one.host).begin(instance, one.request);
        }
        schedule(
                now + ANSWER_BEGINS_AFTER,
                () -> isolations.get(one.host).end(instance, one.request));
        if (one.fatal) {
            schedule(now + CRASHES_AFTER, () -> crashTimes(one, instance));
        } else {
            schedule(now + RUN_TIME, () -> complete(one, instance));
        }
    }

    private void complete(Attempt one, UpstreamId instance) {
        if (one.over) {
            return;
        }
        one.over = true;
        running.get(instance).remove(one);
        served++;
        ledgers.get(one.host)
                .recordHarmlessEnd(one.request)
                .ifPresent(
                        acquittal ->
                                notifyOthers(one.host, ledger -> ledger.applyAcquittal(acquittal)));
    }

    private void crashTimes(Attempt fatal, UpstreamId instance) {
        if (fatal.over) {
            return;
        }
        crashTimes.computeIfAbsent(fatal.request, key -> new ArrayList<>()).add(now);
        crashInstance(Integer.parseInt(instance.value()));
    }

    private void crashInstance(int number) {
        UpstreamId instance = incarnation(number);
        incarnations[number]++;
        upAt[number] = now + RESTART_TIME;
        for (Attempt one : List.copyOf(running.getOrDefault(instance, Set.of()))) {
            one.over = true;
            running.get(instance).remove(one);
            isolations.get(one.host).end(instance, one.request);
            Crash crash = new Crash(instance, Set.of(one.request));
            ledgers.get(one.host).recordCrash(crash, nanos());
            notifyOthers(one.host, ledger -> ledger.recordCrash(crash, nanos()));
            if (!one.fatal && one.number < MAX_ATTEMPTS) {
                schedule(now + RETRY_DELAY, () -> arrive(one.request, false, one.number + 1));
            }
        }
    }

    private void notifyOthers(int from, Consumer<CrashLedger> word) {
        for (int host = 0; host < scenario.hosts(); host++) {
            CrashLedger ledger = ledgers.get(host);
            if (host != from) {
                schedule(now + scenario.noticeDelay(), () -> word.accept(ledger));
            }
        }
    }

    private UpstreamId incarnation(int number) {
        return new UpstreamId(Integer.toString(number), 1 + incarnations[number]);
    }

    private long nanos() {
        return now * 1_000_000;
    }

    private void schedule(long moment, Runnable what) {
        events.add(new Event(moment, order++, what));
    }
}
