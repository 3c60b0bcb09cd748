package io.stackhall.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.fleet.Instances;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.stream.StreamOrigins.Memory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Versions that come and go in three zones, of which each may be cut off, while control hosts start
 * anew and all entry hosts are killed at once.
 */
class TakenUpStreamsProperties {

    private static final int ZONES = 3;
    private static final int STEPS = 250;
    private static final Duration STEP = Duration.ofMillis(500);
    private static final Duration LIFE = Duration.ofSeconds(8);

    private static final List<HostId> ALL =
            List.of(new HostId("control-0"), new HostId("control-1"), new HostId("control-2"));

    private Random random;
    private long now;
    private List<Control> controls;
    private List<StreamLedger> entries;
    private Map<Instance, Integer> serving;
    private Set<Integer> cutOff;
    private List<Open> open;
    private int numbers;
    private int takenUp;
    private int wentOn;

    /** A stream that a caller may take up. */
    private record Open(StreamKey key, StreamOrigin origin, long takeUpUntil) {}

    /** A control host; instances that are gone are remembered, as full updates name them. */
    private static final class Control {
        private final VersionHistory versions;
        private final StreamOrigins origins = new StreamOrigins();
        private final Map<UpstreamId, Instance> known = new HashMap<>();
        private final Set<UpstreamId> gone = new HashSet<>();

        private Control(VersionHistory versions) {
            this.versions = versions;
        }

        private boolean receive(Instance instance, long now) {
            if (gone.contains(instance.id())) {
                return false;
            }
            if (instance.state() == InstanceState.GONE) {
                gone.add(instance.id());
                known.remove(instance.id());
            } else if (known.put(instance.id(), instance) != null) {
                return false;
            }
            versions.update(instance, now);
            return true;
        }
    }

    @Property(tries = 300)
    void streamNeverGoesOnAtAnotherVersion(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        start(seed);
        for (int step = 0; step < STEPS; step++) {
            now += STEP.toNanos();
            open.removeIf(stream -> now - stream.takeUpUntil() > 0);
            act(random.nextInt(24));
            settle();
        }
    }

    // A host that cannot see all the others vouched for a single version.
    @Example
    void versionThatLivedOnACutOffSideOnlyIsNotTakenForTheOther() {
        start(1);
        startInstance("v1", 1);
        pass(LIFE.multipliedBy(2));
        cutOff.add(0);
        settle();
        Instance hidden = startInstance("v2", 0);
        settle();
        begin(0, hidden);
        pass(Duration.ofSeconds(1));
        serving.remove(hidden);
        killEntries();
        restart(0);
        cutOff.clear();
        settle();
        open.forEach(stream -> takeUp(stream, 1));
        assertThat(takenUp).isEqualTo(1);
    }

    @Example
    void streamOfASingleVersionGoesOnAfterAllEntryHostsAreKilled() {
        start(2);
        Instance instance = startInstance("v1", 1);
        pass(LIFE.multipliedBy(2));
        begin(0, instance);
        killEntries();
        settle();
        open.forEach(stream -> takeUp(stream, 1));
        assertThat(wentOn).isEqualTo(1);
    }

    // Without records nobody could tell its version once a control host is lost.
    @Example
    void streamThatBeginsWhileAControlHostIsLostGoesOnAfterAllEntryHostsAreKilled() {
        start(3);
        Instance instance = startInstance("v1", 1);
        pass(LIFE.multipliedBy(2));
        cutOff.add(2);
        settle();
        begin(0, instance);
        killEntries();
        settle();
        open.forEach(stream -> takeUp(stream, 1));
        assertThat(wentOn).isEqualTo(1);
    }

    private void start(long seed) {
        random = new Random(seed);
        now = 0;
        controls = new ArrayList<>();
        entries = new ArrayList<>();
        serving = new LinkedHashMap<>();
        cutOff = new HashSet<>();
        open = new ArrayList<>();
        takenUp = 0;
        wentOn = 0;
        for (int zone = 0; zone < ZONES; zone++) {
            controls.add(new Control(VersionHistory.ofNewFleet()));
            entries.add(new StreamLedger());
        }
        settle();
    }

    private void act(int action) {
        int zone = random.nextInt(ZONES);
        switch (action) {
            case 0, 1 -> startInstance("v" + (1 + random.nextInt(2)), zone);
            case 2, 3 -> serving.keySet().stream().findFirst().ifPresent(serving::remove);
            case 4 -> announceEnd();
            case 5 -> cutOff.add(zone);
            case 6, 7 -> cutOff.clear();
            case 8 -> restart(zone);
            case 9 -> killEntries();
            case 13 -> {
                killEntries();
                restart(zone);
            }
            case 10 -> pass(LIFE.multipliedBy(2));
            case 11, 12 -> open.forEach(stream -> takeUp(stream, random.nextInt(ZONES)));
            default ->
                    serving.keySet().stream()
                            .skip(action % 3)
                            .findFirst()
                            .ifPresent(instance -> begin(zone, instance));
        }
    }

    /** Lets time pass in which nothing but heartbeats happens. */
    private void pass(Duration time) {
        for (long end = now + time.toNanos(); now < end; now += STEP.toNanos()) {
            settle();
        }
    }

    private Instance startInstance(String software, int zone) {
        Instance instance = Instances.atVersion("i-" + numbers++, software);
        serving.put(instance, zone);
        return instance;
    }

    /** Ends an instance that says so to the control hosts that it reaches. */
    private void announceEnd() {
        for (Instance instance : List.copyOf(serving.keySet())) {
            int zone = serving.remove(instance);
            spread(instance.withState(InstanceState.GONE), zone);
            return;
        }
    }

    private void restart(int zone) {
        controls.set(zone, new Control(VersionHistory.since(now)));
        for (int entry = 0; entry < ZONES; entry++) {
            if (reaches(entry, zone)) {
                controls.get(zone).versions.restartWatching(now);
                tell(entry, entries.get(entry).versionsUnwatched(now));
                tell(entry, entries.get(entry).toRemember(now));
            }
        }
        controls.forEach(control -> control.versions.restartWatching(now));
    }

    private void killEntries() {
        for (int entry = 0; entry < ZONES; entry++) {
            entries.set(entry, new StreamLedger());
        }
    }

    /** Lets heartbeats arrive, connected hosts bring each other up to date, and all notice cuts. */
    private void settle() {
        serving.forEach(this::spread);
        for (int from = 0; from < ZONES; from++) {
            for (int to = 0; to < ZONES; to++) {
                if (reaches(from, to)) {
                    update(controls.get(from), to);
                }
            }
        }
        for (int zone = 0; zone < ZONES; zone++) {
            if (!cutOff.isEmpty() && (cutOff.contains(zone) || cutOff.size() < ZONES)) {
                controls.get(zone).versions.restartWatching(now);
                tell(zone, entries.get(zone).versionsUnwatched(now));
                tell(zone, entries.get(zone).toRemember(now));
            }
        }
    }

    private void spread(Instance instance, int zone) {
        for (int host = 0; host < ZONES; host++) {
            if (reaches(zone, host)) {
                receive(host, instance);
            }
        }
    }

    private void update(Control from, int to) {
        from.gone.forEach(
                id -> {
                    Instance known = controls.get(to).known.get(id);
                    if (known != null) {
                        receive(to, known.withState(InstanceState.GONE));
                    }
                    controls.get(to).gone.add(id);
                });
        List.copyOf(from.known.values()).forEach(instance -> receive(to, instance));
    }

    /** Has the hosts of a zone receive a change; entry hosts are told by their control host. */
    private void receive(int zone, Instance instance) {
        controls.get(zone).receive(instance, now);
        tell(zone, entries.get(zone).instanceChanged(instance, now));
    }

    private void begin(int entry, Instance instance) {
        if (!reaches(entry, serving.get(instance))) {
            return;
        }
        StreamKey key = StreamKey.of("r" + numbers++);
        StreamOrigin origin = new StreamOrigin(instance.service(), instance.software().get());
        open.add(new Open(key, origin, now + LIFE.toNanos()));
        tell(entry, entries.get(entry).begun(key, origin, LIFE, now));
    }

    private void tell(int entry, List<Memory> memories) {
        Map<HostId, ZoneId> zones = new HashMap<>();
        for (int zone = 0; zone < ZONES; zone++) {
            if (reaches(entry, zone)) {
                zones.put(new HostId("control-" + zone), new ZoneId("zone-" + zone));
            }
        }
        for (Memory memory : memories) {
            for (HostId holder :
                    OriginHolders.select(memory.key(), new ZoneId("zone-" + entry), zones)) {
                int number = holder.value().charAt(holder.value().length() - 1) - '0';
                controls.get(number)
                        .origins
                        .remember(memory.key(), memory.origin(), memory.remaining(), now);
            }
        }
    }

    private void takeUp(Open stream, int entry) {
        takenUp++;
        if (ask(stream, entry) instanceof TakeUp.GoOn go) {
            wentOn++;
            assertThat(go.origin()).isEqualTo(stream.origin());
        }
    }

    private TakeUp ask(Open stream, int entry) {
        if (entries.get(entry).find(stream.key(), now) instanceof OriginLookup.Known known) {
            return new TakeUp.GoOn(known.origin(), TakeUp.Evidence.OWN_RECORD);
        }
        VersionsSeen own = entries.get(entry).seen(Instances.SERVICE, LIFE, now);
        OriginInquiry inquiry = new OriginInquiry(Optional.of(Instances.SERVICE), LIFE, own, ALL);
        Optional<TakeUp> decided = Optional.empty();
        for (int zone = 0; zone < ZONES && decided.isEmpty(); zone++) {
            if (reaches(entry, zone)) {
                HostId host = new HostId("control-" + zone);
                Control control = controls.get(zone);
                inquiry.sent(host);
                decided =
                        inquiry.answer(
                                        host,
                                        new OriginAnswer(
                                                control.origins.find(stream.key(), now),
                                                control.versions.seen(Instances.SERVICE, LIFE, now),
                                                ZONES))
                                .filter(one -> !isByProof(one));
            }
        }
        return decided.orElseGet(inquiry::conclude);
    }

    /** A proof stands only once all have been asked. */
    private static boolean isByProof(TakeUp takeUp) {
        return takeUp instanceof TakeUp.GoOn go && go.evidence() == TakeUp.Evidence.SOLE_VERSION;
    }

    private boolean reaches(int from, int to) {
        return from == to || !(cutOff.contains(from) || cutOff.contains(to));
    }
}
