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
 * Simulates a load in which some requests crash the instances that begin to run them, with the
 * ledgers and isolations of several hosts and delayed notices between them. Times are in
 * milliseconds.
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

    /** How often an innocent request is sent in all, if its instances crash. */
    private static final int MAX_ATTEMPTS = 4;

    /**
     * The parameters of a run.
     *
     * @param hosts how many hosts take requests
     * @param fatal how many requests crash instances
     * @param noticeDelay the time until a notice reaches the other hosts
     * @param usesLedger whether hosts consult their ledgers
     * @param spontaneousCrashInterval the interval of crashes that no request causes, 0 for none
     */
    record Scenario(
            int hosts,
            int fatal,
            int noticeDelay,
            boolean usesLedger,
            int spontaneousCrashInterval) {}

    /**
     * The result of a run.
     *
     * @param maxCrashes the most crashes that one request caused
     * @param lateCrashes crashes by a request more than {@link #LATE_AFTER} after its third one
     * @param innocent innocent requests
     * @param served innocent requests that were served at any attempt
     * @param wronglyRefused attempts of innocent requests that were refused as condemned
     */
    record Result(int maxCrashes, int lateCrashes, int innocent, int served, int wronglyRefused) {}

    private record Event(long at, long order, Runnable action) {}

    /** One attempt of a request. */
    private static final class Attempt {
        private final RequestDigest request;
        private final boolean fatal;
        private final int number;
        private final int host;
        private final long arrivedAt;
        private boolean over;

        private Attempt(RequestDigest request, boolean fatal, int number, int host, long came) {
            this.request = request;
            this.fatal = fatal;
            this.number = number;
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

    private CrashSimulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int host = 0; host < scenario.hosts(); host++) {
            ledgers.add(new CrashLedger());
            isolations.add(new SuspectIsolation());
        }
    }

    static Result run(Scenario scenario, long seed) {
        return new CrashSimulation(scenario, seed).run();
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

    private void arrive(RequestDigest request, boolean fatal, int number) {
        int host = random.nextInt(scenario.hosts());
        tryDispatch(new Attempt(request, fatal, number, host, now));
    }

    private void tryDispatch(Attempt attempt) {
        Standing standing =
                scenario.usesLedger()
                        ? ledgers.get(attempt.host).standing(attempt.request, nanos())
                        : new Standing.Clear();
        boolean suspect = standing instanceof Standing.Suspect;
        if (standing instanceof Standing.Condemned) {
            wronglyRefused += attempt.fatal ? 0 : 1;
            return;
        }
        Optional<UpstreamId> instance = choose(attempt, suspect);
        if (instance.isPresent()) {
            send(attempt, instance.get(), suspect);
        } else if (now - attempt.arrivedAt < MAX_WAIT) {
            schedule(now + RECHECK_INTERVAL, () -> tryDispatch(attempt));
        }
    }

    private Optional<UpstreamId> choose(Attempt attempt, boolean suspect) {
        List<UpstreamId> up =
                IntStream.range(0, INSTANCES)
                        .filter(number -> upAt[number] <= now)
                        .mapToObj(this::incarnation)
                        .toList();
        SuspectIsolation here = isolations.get(attempt.host);
        if (!suspect) {
            return up.isEmpty() ? Optional.empty() : Optional.of(up.get(random.nextInt(up.size())));
        }
        if (here.isRunning(attempt.request)) {
            return Optional.empty();
        }
        return up.stream()
                .filter(id -> !here.isOccupied(id))
                .min(Comparator.comparingLong(id -> SuspectIsolation.rank(attempt.request, id)));
    }

    private void send(Attempt attempt, UpstreamId instance, boolean suspect) {
        running.computeIfAbsent(instance, key -> new LinkedHashSet<>()).add(attempt);
        if (suspect) {
            isolations.get(attempt.host).begin(instance, attempt.request);
        }
        schedule(
                now + ANSWER_BEGINS_AFTER,
                () -> isolations.get(attempt.host).end(instance, attempt.request));
        if (attempt.fatal) {
            schedule(now + CRASHES_AFTER, () -> crash(attempt, instance));
        } else {
            schedule(now + RUN_TIME, () -> complete(attempt, instance));
        }
    }

    private void complete(Attempt attempt, UpstreamId instance) {
        if (attempt.over) {
            return;
        }
        attempt.over = true;
        running.get(instance).remove(attempt);
        served++;
        ledgers.get(attempt.host)
                .recordHarmlessEnd(attempt.request)
                .ifPresent(
                        acquittal ->
                                notifyOthers(
                                        attempt.host, ledger -> ledger.applyAcquittal(acquittal)));
    }

    private void crash(Attempt fatal, UpstreamId instance) {
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
        for (Attempt attempt : List.copyOf(running.getOrDefault(instance, Set.of()))) {
            attempt.over = true;
            running.get(instance).remove(attempt);
            isolations.get(attempt.host).end(instance, attempt.request);
            Crash crash = new Crash(instance, Set.of(attempt.request));
            ledgers.get(attempt.host).recordCrash(crash, nanos());
            notifyOthers(attempt.host, ledger -> ledger.recordCrash(crash, nanos()));
            if (!attempt.fatal && attempt.number < MAX_ATTEMPTS) {
                schedule(
                        now + RETRY_DELAY,
                        () -> arrive(attempt.request, false, attempt.number + 1));
            }
        }
    }

    private void notifyOthers(int from, Consumer<CrashLedger> notice) {
        for (int host = 0; host < scenario.hosts(); host++) {
            CrashLedger ledger = ledgers.get(host);
            if (host != from) {
                schedule(now + scenario.noticeDelay(), () -> notice.accept(ledger));
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
