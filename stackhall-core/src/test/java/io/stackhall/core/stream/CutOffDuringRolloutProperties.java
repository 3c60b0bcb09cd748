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
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.statistics.Statistics;

/**
 * Upstreams of another version join and leave while hosts are cut off, one way or both, which those
 * that they were connected to notice only after a silence. Hosts 0 to 2 are control hosts, 3 to 5
 * entry hosts.
 */
class CutOffDuringRolloutProperties {

    private static final int ZONES = 3;
    private static final int HOSTS = 2 * ZONES;
    private static final int STEPS = 80;

    /** Most of them begin a stream or take one of the latest up. */
    private static final int ACTIONS = 120;

    private static final int LATEST = 6;
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration SILENCE = Duration.ofMillis(900);
    private static final int STEPS_PER_SWEEP = 5;
    private static final Duration LIFE = Duration.ofSeconds(8);

    private final boolean[][] lost = new boolean[HOSTS][HOSTS];
    private final long[][] heardAt = new long[HOSTS][HOSTS];

    /** Connections that a host opened, and that are lost without its knowledge. */
    private final boolean[][] broken = new boolean[HOSTS][HOSTS];

    private final boolean[][] up = new boolean[HOSTS][HOSTS];
    private final List<Control> controls = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Map<Instance, Integer> serving = new LinkedHashMap<>();
    private final List<Open> open = new ArrayList<>();
    private Random random;
    private long now;
    private int numbers;

    /** A stream that a caller may take up. */
    private record Open(StreamKey key, StreamOrigin origin, long takeUpUntil) {}

    private static final class Control {
        private final VersionHistory versions;
        private final StreamOrigins origins = new StreamOrigins();
        private final Map<UpstreamId, Instance> known = new HashMap<>();
        private final Set<UpstreamId> gone = new HashSet<>();

        private Control(VersionHistory versions) {
            this.versions = versions;
        }
    }

    private static final class Entry {
        private final StreamLedger ledger = new StreamLedger();
        private final Map<UpstreamId, Instance> known = new HashMap<>();
        private final Set<UpstreamId> gone = new HashSet<>();
    }

    @Property(tries = 400)
    void streamNeverGoesOnAtAnotherVersionWhileACutIsNotNoticed(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        random = new Random(seed);
        reset();
        for (int zone = 0; zone < ZONES; zone++) {
            controls.add(new Control(VersionHistory.ofNewFleet()));
            entries.add(new Entry());
            serving.put(Instances.atVersion("i-" + numbers++, "v1"), zone);
        }
        for (int step = 0; step < STEPS; step++) {
            now += STEP.toNanos();
            open.removeIf(stream -> now - stream.takeUpUntil() > 0);
            act(random.nextInt(ACTIONS));
            checkConnections();
            if (step % STEPS_PER_SWEEP == 0) {
                serving.forEach((instance, zone) -> announce(zone, instance));
                sweep();
            }
        }
    }

    /** Begins anew: the object is the same for all tries. */
    private void reset() {
        for (int host = 0; host < HOSTS; host++) {
            Arrays.fill(broken[host], false);
            Arrays.fill(up[host], false);
            Arrays.fill(lost[host], false);
        }
        controls.clear();
        entries.clear();
        serving.clear();
        open.clear();
        numbers = 0;
    }

    private void act(int action) {
        int zone = random.nextInt(ZONES);
        switch (action) {
            case 0 -> cutOff(random.nextInt(HOSTS));
            case 1 -> heal();
            case 2, 3 -> {
                cutOffZone(zone);
                startNewVersion(zone);
            }
            case 4 -> startNewVersion(zone);
            case 5 -> endNewVersion();
            case 6 -> restart(zone);
            case 7 -> entries.set(zone, new Entry());
            default -> {
                if (action % 2 == 0) {
                    begin(zone);
                } else if (!open.isEmpty()) {
                    takeUp(open.get(Math.max(0, open.size() - 1 - random.nextInt(LATEST))), zone);
                }
            }
        }
    }

    /** Cuts a host off from some others, in one direction or both. */
    private void cutOff(int host) {
        int directions = 1 + random.nextInt(3);
        for (int other = 0; other < HOSTS; other++) {
            if (other != host && random.nextInt(4) > 0) {
                lost[host][other] |= (directions & 1) != 0;
                lost[other][host] |= (directions & 2) != 0;
            }
        }
    }

    private void cutOffZone(int zone) {
        for (int other = 0; other < HOSTS; other++) {
            for (int host : List.of(zone, zone + ZONES)) {
                if (other % ZONES != zone) {
                    lost[host][other] = true;
                    lost[other][host] = true;
                }
            }
        }
    }

    private void heal() {
        for (boolean[] links : lost) {
            Arrays.fill(links, false);
        }
    }

    private void startNewVersion(int zone) {
        Instance instance = Instances.atVersion("i-" + numbers++, "v2");
        serving.put(instance, zone);
        announce(zone, instance);
    }

    private void endNewVersion() {
        for (Instance instance : List.copyOf(serving.keySet())) {
            if (instance.software().orElseThrow().value().equals("v2")) {
                announce(serving.remove(instance), instance.withState(InstanceState.GONE));
            }
        }
    }

    private void restart(int control) {
        controls.set(control, new Control(VersionHistory.since(now)));
        for (int host = 0; host < HOSTS; host++) {
            broken[host][control] = true;
            broken[control][host] = true;
        }
    }

    /** Opens connections again that are lost, as soon as the links carry, and notices silence. */
    private void checkConnections() {
        for (int host = 0; host < HOSTS; host++) {
            for (int control = 0; control < ZONES; control++) {
                if (host == control) {
                    continue;
                }
                if (lost[host][control] || lost[control][host]) {
                    broken[host][control] = true;
                    up[host][control] &= now - heardAt[host][control] <= SILENCE.toNanos();
                    continue;
                }
                heardAt[host][control] = now;
                boolean again = broken[host][control] && random.nextBoolean();
                if (!up[host][control] || again) {
                    up[host][control] = true;
                    broken[host][control] = false;
                    connected(host, control);
                }
            }
        }
    }

    private void connected(int host, int control) {
        if (host < ZONES) {
            if (numbers > ZONES) {
                controls.get(host).versions.restartWatching(now);
                notifyUnwatched(host);
            }
        } else {
            Entry entry = entries.get(host - ZONES);
            send(host, control, entry.ledger.toRemember(now));
        }
        Control from = controls.get(control);
        from.gone.forEach(id -> receiveGone(host, id));
        List.copyOf(from.known.values()).forEach(instance -> receive(host, instance));
    }

    private void sweep() {
        for (int control = 0; control < ZONES; control++) {
            for (int other = 0; other < ZONES; other++) {
                if (other != control && !up[control][other]) {
                    controls.get(control).versions.restartWatching(now);
                    notifyUnwatched(control);
                }
            }
        }
        for (int host = ZONES; host < HOSTS; host++) {
            for (int control = 0; control < ZONES; control++) {
                if (!up[host][control]) {
                    tell(host, entries.get(host - ZONES).ledger.versionsUnwatched(now));
                }
            }
        }
    }

    private void notifyUnwatched(int control) {
        for (int host = ZONES; host < HOSTS; host++) {
            if (carries(host, control) && primary(host) == control) {
                tell(host, entries.get(host - ZONES).ledger.versionsUnwatched(now));
            }
        }
    }

    /** Has an upstream tell the control host of its zone, which forwards it. */
    private void announce(int control, Instance instance) {
        receive(control, instance);
        for (int other = 0; other < ZONES; other++) {
            if (other != control && carries(control, other)) {
                receive(other, instance);
            }
        }
    }

    private void receiveGone(int host, UpstreamId id) {
        Instance known =
                host < ZONES
                        ? controls.get(host).known.get(id)
                        : entries.get(host - ZONES).known.get(id);
        if (known != null) {
            receive(host, known.withState(InstanceState.GONE));
        }
    }

    private void receive(int host, Instance instance) {
        if (host >= ZONES) {
            Entry entry = entries.get(host - ZONES);
            if (isNews(instance, entry.known, entry.gone)) {
                tell(host, entry.ledger.instanceChanged(instance, now));
            }
            return;
        }
        Control control = controls.get(host);
        if (isNews(instance, control.known, control.gone)) {
            control.versions.update(instance, now);
        }
        for (int entry = ZONES; entry < HOSTS; entry++) {
            if (carries(entry, host) && primary(entry) == host) {
                receive(entry, instance);
            }
        }
    }

    private static boolean isNews(
            Instance instance, Map<UpstreamId, Instance> known, Set<UpstreamId> gone) {
        if (gone.contains(instance.id())) {
            return false;
        }
        if (instance.state() == InstanceState.GONE) {
            gone.add(instance.id());
            known.remove(instance.id());
            return true;
        }
        return known.put(instance.id(), instance) == null;
    }

    /** Returns the control host that an entry host hears from: that of its zone, if connected. */
    private int primary(int entry) {
        return IntStream.range(0, ZONES)
                .map(offset -> (entry + offset) % ZONES)
                .filter(control -> up[entry][control])
                .findFirst()
                .orElse(-1);
    }

    private boolean carries(int host, int control) {
        return up[host][control]
                && !broken[host][control]
                && !lost[host][control]
                && !lost[control][host];
    }

    private void begin(int zone) {
        Entry entry = entries.get(zone);
        List<Instance> usable = entry.known.values().stream().filter(serving::containsKey).toList();
        if (usable.isEmpty()) {
            return;
        }
        Instance instance = usable.get(random.nextInt(usable.size()));
        StreamKey key = StreamKey.of("r" + numbers++);
        StreamOrigin origin = new StreamOrigin(instance.service(), instance.software().get());
        open.add(new Open(key, origin, now + LIFE.toNanos()));
        tell(zone + ZONES, entry.ledger.begun(key, origin, LIFE, now));
    }

    private void tell(int host, List<Memory> memories) {
        Map<HostId, ZoneId> zones = new HashMap<>();
        for (int control = 0; control < ZONES; control++) {
            if (up[host][control]) {
                zones.put(new HostId("c" + control), new ZoneId("zone-" + control));
            }
        }
        for (Memory memory : memories) {
            ZoneId own = new ZoneId("zone-" + host % ZONES);
            for (HostId holder : OriginHolders.select(memory.key(), own, zones)) {
                send(host, holder.value().charAt(1) - '0', List.of(memory));
            }
        }
    }

    private void send(int host, int control, List<Memory> memories) {
        if (carries(host, control)) {
            StreamOrigins origins = controls.get(control).origins;
            memories.forEach(
                    one -> origins.remember(one.key(), one.origin(), one.remaining(), now));
        }
    }

    private void takeUp(Open stream, int zone) {
        TakeUp takeUp = ask(stream, zone);
        Statistics.collect(takeUp instanceof TakeUp.GoOn go ? go.evidence().name() : "REFUSED");
        if (takeUp instanceof TakeUp.GoOn go) {
            assertThat(go.origin()).isEqualTo(stream.origin());
        }
    }

    private TakeUp ask(Open stream, int zone) {
        StreamLedger ledger = entries.get(zone).ledger;
        if (ledger.find(stream.key(), now) instanceof OriginLookup.Known known) {
            return new TakeUp.GoOn(known.origin(), TakeUp.Evidence.OWN_RECORD);
        }
        List<HostId> all = IntStream.range(0, ZONES).mapToObj(n -> new HostId("c" + n)).toList();
        VersionsSeen own = ledger.seen(Instances.SERVICE, LIFE, now);
        OriginInquiry inquiry = new OriginInquiry(Optional.of(Instances.SERVICE), LIFE, own, all);
        List<Integer> asked =
                IntStream.range(0, ZONES).filter(one -> up[zone + ZONES][one]).boxed().toList();
        asked.forEach(control -> inquiry.sent(all.get(control)));
        Optional<TakeUp> decided = Optional.empty();
        for (int control : asked) {
            if (decided.isEmpty() && carries(zone + ZONES, control)) {
                Control host = controls.get(control);
                decided =
                        inquiry.answer(
                                all.get(control),
                                new OriginAnswer(
                                        host.origins.find(stream.key(), now),
                                        host.versions.seen(Instances.SERVICE, LIFE, now),
                                        ZONES));
            }
        }
        return decided.orElseGet(inquiry::conclude);
    }
}
