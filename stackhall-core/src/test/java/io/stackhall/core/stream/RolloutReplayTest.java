package io.stackhall.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.fleet.Instances;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A rollout on many entry hosts of which one is killed each second, with all its streams. */
class RolloutReplayTest {

    private static final int ENTRIES = 95;
    private static final int CONTROLS = 6;
    private static final int ZONES = 3;
    private static final int INSTANCES = 16;
    private static final int PER_STEP = 6;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int STEPS_A_SECOND = 100;
    private static final int ROLLOUT_FROM = 5 * STEPS_A_SECOND;
    private static final int CONTROLS_RESTART = 20 * STEPS_A_SECOND;
    private static final int STEPS = 30 * STEPS_A_SECOND;
    private static final Duration LIFE = Duration.ofSeconds(10);

    private final List<StreamLedger> entries = new ArrayList<>();
    private final Map<HostId, StreamOrigins> origins = new HashMap<>();
    private final Map<HostId, VersionHistory> histories = new HashMap<>();
    private final Map<HostId, ZoneId> zones = new HashMap<>();
    private final List<Instance> serving = new ArrayList<>();
    private final List<Open> open = new ArrayList<>();
    private final List<Runnable> underWay = new ArrayList<>();
    private Random random;
    private long now;
    private int told;
    private int begun;
    private int takenUp;
    private int wentOn;

    /** A stream that its host is passing on. */
    private record Open(StreamKey key, int host, StreamOrigin origin, long endsAt) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void streamsOfKilledHostsGoOnAtTheirVersion(long seed) {
        random = new Random(seed);
        start();
        for (int step = 1; step <= STEPS; step++) {
            now += STEP.toNanos();
            if (step % STEPS_A_SECOND == 0) {
                kill(random.nextInt(ENTRIES));
            }
            List.copyOf(underWay).forEach(Runnable::run);
            underWay.clear();
            if (step >= ROLLOUT_FROM && step % STEPS_A_SECOND == 0 && oldest().isPresent()) {
                assertThat(step > ROLLOUT_FROM || told == 0).as("sent for one version").isTrue();
                replace(oldest().get());
            }
            if (step == CONTROLS_RESTART) {
                zones.keySet().stream().limit(CONTROLS / 2).forEach(this::restart);
            }
            open.removeIf(stream -> stream.endsAt() - now < 0);
            for (int number = 0; number < PER_STEP; number++) {
                begin("r" + step + "-" + number);
            }
        }
        assertThat(takenUp).isGreaterThan(100);
        assertThat(wentOn).isGreaterThanOrEqualTo(takenUp * 9 / 10);
        assertThat(told).as("two holders, and what is told again").isLessThan(3 * begun);
    }

    private void start() {
        for (int number = 0; number < INSTANCES; number++) {
            serving.add(Instances.instance("old-" + number, 1));
        }
        for (int number = 0; number < CONTROLS; number++) {
            HostId host = new HostId("control-" + number);
            zones.put(host, zone(number));
            origins.put(host, new StreamOrigins());
            histories.put(host, VersionHistory.ofNewFleet());
        }
        for (int number = 0; number < ENTRIES; number++) {
            entries.add(newEntry());
        }
        serving.forEach(instance -> histories.values().forEach(one -> one.update(instance, now)));
    }

    private static ZoneId zone(int number) {
        return new ZoneId("zone-" + number % ZONES);
    }

    private StreamLedger newEntry() {
        StreamLedger entry = new StreamLedger();
        serving.forEach(instance -> entry.instanceChanged(instance, now));
        entry.startWatching(now);
        return entry;
    }

    private Optional<Instance> oldest() {
        return serving.stream().filter(one -> one.id().value().startsWith("old")).findFirst();
    }

    private void replace(Instance old) {
        serving.remove(old);
        Instance next = Instances.atVersion("next-" + old.id().value(), "v2");
        serving.add(next);
        for (Instance change : List.of(next, old.withState(InstanceState.GONE))) {
            histories.values().forEach(one -> one.update(change, now));
            for (int host = 0; host < ENTRIES; host++) {
                tell(host, entries.get(host).instanceChanged(change, now));
            }
        }
    }

    private void tell(int host, List<StreamOrigins.Memory> memories) {
        for (StreamOrigins.Memory memory : memories) {
            for (HostId holder : OriginHolders.select(memory.key(), zone(host), zones)) {
                told++;
                underWay.add(() -> remember(holder, memory));
            }
        }
    }

    private void remember(HostId holder, StreamOrigins.Memory memory) {
        origins.get(holder).remember(memory.key(), memory.origin(), memory.remaining(), now);
    }

    /** Restarts a control host, which entry hosts tell again what it has lost. */
    private void restart(HostId control) {
        origins.put(control, new StreamOrigins());
        for (StreamLedger entry : entries) {
            entry.toRemember(now).forEach(memory -> remember(control, memory));
        }
    }

    private void begin(String id) {
        begun++;
        int host = random.nextInt(ENTRIES);
        Instance instance = serving.get(random.nextInt(serving.size()));
        StreamOrigin origin = new StreamOrigin(instance.service(), instance.software().get());
        StreamKey key = StreamKey.of(id);
        open.add(new Open(key, host, origin, now + random.nextLong(LIFE.toNanos() / 4)));
        tell(host, entries.get(host).begun(key, origin, LIFE, now));
    }

    /** Ends a host, with what it was about to tell, and has its callers come to other hosts. */
    private void kill(int host) {
        underWay.clear();
        entries.set(host, newEntry());
        for (Open stream : open.stream().filter(one -> one.host() == host).toList()) {
            takenUp++;
            TakeUp takeUp = ask(stream, entries.get((host + 1) % ENTRIES));
            if (takeUp instanceof TakeUp.GoOn go) {
                wentOn++;
                assertThat(go.origin()).isEqualTo(stream.origin());
            }
        }
        open.removeIf(stream -> stream.host() == host);
    }

    private TakeUp ask(Open stream, StreamLedger entry) {
        OriginInquiry inquiry =
                new OriginInquiry(
                        Optional.of(Instances.SERVICE),
                        LIFE,
                        entry.seen(Instances.SERVICE, LIFE, now),
                        zones.keySet());
        for (HostId control : zones.keySet()) {
            inquiry.sent(control);
            OriginAnswer answer =
                    new OriginAnswer(
                            origins.get(control).find(stream.key(), now),
                            histories.get(control).seen(Instances.SERVICE, LIFE, now),
                            CONTROLS);
            Optional<TakeUp> decided = inquiry.answer(control, answer);
            if (decided.isPresent()
                    && decided.get() instanceof TakeUp.GoOn go
                    && go.evidence() == TakeUp.Evidence.RECORD) {
                return go;
            }
        }
        return inquiry.conclude();
    }
}
