package io.stackhall.core.placement;

import io.stackhall.core.config.Configuration;
import io.stackhall.core.config.Deployment;
import io.stackhall.core.config.ModelSpec;
import io.stackhall.core.config.PolicyName;
import io.stackhall.core.config.PolicySpec;
import io.stackhall.core.config.WeightStoreSpec;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.membership.Resident;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A simulated zone with a coordinator, its ledger and two engines, whose messages are lost, delayed
 * and duplicated.
 */
final class FakeZone {

    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long STEP_MILLIS = 50;
    private static final long LIFETIME_MILLIS = 2000;
    private static final long CAPACITY_MIB = 1000;
    private static final int MODELS = 6;

    /**
     * A simulated engine. It accounts for its memory independently of the code under test, to
     * detect overcommitment.
     */
    private static final class FakeEngine {
        private final String id;
        private final boolean checked;
        private final TreeMap<String, Resident> resident = new TreeMap<>();
        private long incarnation = 1;
        private long sequence;
        private long highest;
        private int overcommits;
        private int loads;

        FakeEngine(String id, boolean checked) {
            this.id = id;
            this.checked = checked;
        }

        Optional<PlacementEvent.Answered> carryOut(Order order) {
            boolean old = order.number() < highest || order.incarnation() != incarnation;
            if (checked && old) {
                return Optional.of(answer(order, false));
            }
            highest = Math.max(highest, order.number());
            if (order.kind() == Order.Kind.LOAD) {
                Resident added = new Resident(order.artifact(), order.memoryMib());
                if (resident.put(order.artifact().toString(), added) == null) {
                    loads++;
                }
            } else {
                resident.remove(order.artifact().toString());
            }
            long used = resident.values().stream().mapToLong(Resident::memoryMib).sum();
            overcommits += used > CAPACITY_MIB ? 1 : 0;
            return Optional.of(answer(order, true));
        }

        Announcement announcement() {
            sequence++;
            return new Announcement(
                    new UpstreamId(id),
                    new ZoneId("plateau"),
                    id + ":1",
                    incarnation,
                    sequence,
                    List.of(),
                    new Announcement.Memory(1, CAPACITY_MIB, 0, List.copyOf(resident.values())),
                    new Announcement.Load(4, 0, 0),
                    new Announcement.Fencing(checked, highest),
                    false,
                    List.of());
        }

        private PlacementEvent.Answered answer(Order order, boolean carriedOut) {
            return new PlacementEvent.Answered(
                    order.number(), incarnation, sequence + 1, carriedOut);
        }
    }

    /** A message in transit. */
    private record InTransit(long arrivesAt, Runnable delivery) {}

    private final Random random;
    private final PlacementSettings settings =
            new PlacementSettings(
                    Duration.ofMillis(LIFETIME_MILLIS),
                    Duration.ofMillis(200),
                    Duration.ofMillis(100),
                    1);
    private final List<FakeEngine> engines = new ArrayList<>();
    private final List<InTransit> transit = new ArrayList<>();
    private final OrderLedger ledger = new OrderLedger();
    private final Set<ModelId> served = new HashSet<>();
    private PlacementCoordinator coordinator;
    private int term;
    private boolean faults = true;
    private long now = Duration.ofSeconds(1000).toNanos();

    FakeZone(long seed, boolean checked) {
        random = new Random(seed);
        engines.add(new FakeEngine("engine-1", checked));
        engines.add(new FakeEngine("engine-2", checked));
        lead();
    }

    void runWithFaults(int steps) {
        for (int step = 0; step < steps; step++) {
            switch (random.nextInt(40)) {
                case 0 -> lead();
                case 1 -> restart(engines.get(random.nextInt(engines.size())));
                case 2, 3, 4 -> demand(model(random.nextInt(MODELS)));
                default -> {
                    // No event; only time passes.
                }
            }
            step();
        }
    }

    /** Runs without message faults, and requests every model until each has been resident. */
    void runWithoutFaults() {
        faults = false;
        for (int round = 0; round < 40; round++) {
            for (int model = 0; model < MODELS; model++) {
                if (!served.contains(model(model))) {
                    demand(model(model));
                    break;
                }
            }
            for (int step = 0; step < 40; step++) {
                step();
            }
        }
    }

    int overcommits() {
        return engines.stream().mapToInt(engine -> engine.overcommits).sum();
    }

    int loads() {
        return engines.stream().mapToInt(engine -> engine.loads).sum();
    }

    List<ModelId> neverServed() {
        List<ModelId> missing = new ArrayList<>();
        for (int at = 0; at < MODELS; at++) {
            if (!served.contains(model(at))) {
                missing.add(model(at));
            }
        }
        return missing;
    }

    private void step() {
        now += STEP_MILLIS * MILLI;
        for (InTransit item : List.copyOf(transit)) {
            if (now - item.arrivesAt() >= 0) {
                transit.remove(item);
                item.delivery().run();
            }
        }
        for (FakeEngine engine : engines) {
            if (random.nextInt(4) == 0) {
                report(engine);
            }
            engine.resident.values().forEach(item -> served.add(item.artifact().id()));
        }
        take(new PlacementEvent.Tick());
    }

    private void lead() {
        term++;
        coordinator = new PlacementCoordinator(settings, now);
        take(new PlacementEvent.Configured(new Configuration(1, deployment(), Set.of())));
        engines.forEach(this::report);
        take(new PlacementEvent.Led(ledger.state()));
    }

    private static void restart(FakeEngine engine) {
        engine.resident.clear();
        engine.incarnation++;
        engine.highest = 0;
    }

    private void demand(ModelId model) {
        take(new PlacementEvent.Demanded(new HostId("h"), Map.of(model, 1), Map.of(model, 1)));
    }

    /** Reports are in order, because the instance table drops those out of order. */
    private void report(FakeEngine engine) {
        take(new PlacementEvent.Reported(engine.announcement()));
    }

    private void take(PlacementEvent event) {
        for (PlacementEffect effect : coordinator.step(event, now)) {
            switch (effect) {
                case PlacementEffect.Propose(OrderCommand command) -> propose(command);
                case PlacementEffect.Send(Order order, String ignored) -> send(order);
            }
        }
    }

    private void propose(OrderCommand command) {
        if (faults && random.nextInt(10) == 0) {
            take(new PlacementEvent.ProposalFailed(command));
            return;
        }
        ledger.apply(command);
        take(new PlacementEvent.LedgerChanged(ledger.state()));
    }

    private void send(Order order) {
        int sentIn = term;
        FakeEngine engine =
                engines.stream()
                        .filter(one -> one.id.equals(order.upstream().value()))
                        .findFirst()
                        .orElseThrow();
        if (!faults) {
            answer(sentIn, engine.carryOut(order));
            return;
        }
        boolean lost = random.nextInt(4) == 0;
        boolean answerLost = random.nextInt(4) == 0;
        if (!lost) {
            arrive(order, engine, random.nextInt(600), answerLost ? -1 : sentIn);
        }
        if (random.nextInt(3) == 0) {
            arrive(order, engine, random.nextInt((int) LIFETIME_MILLIS - 200), -1);
        }
        if (lost || answerLost) {
            later(
                    700,
                    () -> {
                        if (term == sentIn) {
                            take(new PlacementEvent.Unanswered(order.number(), true));
                        }
                    });
        }
    }

    private void arrive(Order order, FakeEngine engine, int delayMillis, int answerTo) {
        later(delayMillis, () -> answer(answerTo, engine.carryOut(order)));
    }

    private void answer(int toTerm, Optional<PlacementEvent.Answered> answer) {
        if (toTerm == term) {
            answer.ifPresent(this::take);
        }
    }

    private void later(int millis, Runnable delivery) {
        transit.add(new InTransit(now + millis * MILLI, delivery));
    }

    private static ModelId model(int at) {
        return new ModelId("m" + at);
    }

    private static Deployment deployment() {
        List<ModelSpec> models = new ArrayList<>();
        for (int at = 0; at < MODELS; at++) {
            models.add(new ModelSpec(model(at), "1", 400 + 20L * at, 1, true));
        }
        return new Deployment(
                models,
                List.of(),
                List.of(),
                List.of(),
                new PolicySpec(
                        PolicyName.LEAST_RECENTLY_USED, Optional.of(PolicyName.EXPECTED_GAIN)),
                new WeightStoreSpec(50, 10));
    }
}
