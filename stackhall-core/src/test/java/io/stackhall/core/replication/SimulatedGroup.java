package io.stackhall.core.replication;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Simulation of one group of replicas with an in-memory network, faults and a simulated clock. */
final class SimulatedGroup {

    static final long MILLI = Duration.ofMillis(1).toNanos();
    static final long TICK_MILLIS = 20;

    /** A host with its saved state and, while it runs, its replica. */
    static final class Host {
        final String name;
        final boolean durable;
        SavedState saved = SavedState.empty();
        Replica replica;
        long incarnation;
        final List<String> applied = new ArrayList<>();
        int formations;
        boolean caughtUp;
        Set<String> acknowledgedBefore = new TreeSet<>();

        /**
         * Commands that were acknowledged before the replica started but not applied when it
         * reported that it had caught up.
         */
        final Set<String> missingWhenCaughtUp = new TreeSet<>();

        boolean storageLost;

        Host(String name, boolean durable) {
            this.name = name;
            this.durable = durable;
        }
    }

    private record InFlightEvent(String from, String to, ReplicaEvent event) {}

    final TreeMap<String, Host> hosts = new TreeMap<>();
    final Map<List<Long>, ReplicaId> leaderOfTerm = new HashMap<>();
    final TreeSet<String> acknowledged = new TreeSet<>();
    final List<String> partitionedHosts = new ArrayList<>();
    private final Map<Long, String> pendingByTicket = new HashMap<>();
    private final Map<String, Map<Long, Long>> ticketByIndex = new HashMap<>();
    private final List<InFlightEvent> network = new ArrayList<>();
    private final Random random;
    private final ReplicaSettings settings;
    private final TreeSet<String> founders = new TreeSet<>();
    private double loss;
    private double duplication;
    private long now = 1_000_000_000L;
    private long nextTicket = 1;
    private long nextIncarnation = 1;

    SimulatedGroup(long seed, boolean durable, String... names) {
        this(seed, durable, ReplicaSettings.standard(), names);
    }

    private SimulatedGroup(long seed, boolean durable, ReplicaSettings settings, String... names) {
        random = new Random(seed);
        this.settings = settings;
        founders.addAll(List.of(names));
        for (String name : names) {
            hosts.put(name, new Host(name, durable));
        }
        for (String name : names) {
            start(name);
        }
    }

    /** Returns a group with dynamic membership, formed by the given durable hosts. */
    static SimulatedGroup withDynamicMembership(long seed, String... founders) {
        ReplicaSettings settings =
                new ReplicaSettings(
                        Duration.ofMillis(700),
                        Duration.ofMillis(100),
                        Duration.ofMillis(50),
                        64,
                        founders.length);
        return new SimulatedGroup(seed, true, settings, founders);
    }

    /** Returns the simulated time, in nanoseconds. */
    long now() {
        return now;
    }

    /** Starts a host that is not in the settings. */
    void join(String name) {
        hosts.put(name, new Host(name, true));
        start(name);
    }

    void setFaults(double lossShare, double duplicationShare) {
        loss = lossShare;
        duplication = duplicationShare;
    }

    void start(String name) {
        Host host = hosts.get(name);
        if (!host.durable || host.incarnation == 0) {
            host.incarnation = nextIncarnation++;
        }
        if (!host.durable) {
            host.saved = SavedState.empty();
        }
        host.applied.clear();
        host.caughtUp = false;
        host.acknowledgedBefore = new TreeSet<>(acknowledged);
        ticketByIndex.put(name, new HashMap<>());
        host.replica =
                new Replica(
                        new ReplicaId(name, host.incarnation),
                        host.durable,
                        configuredHosts(host),
                        settings,
                        new Random(random.nextLong()),
                        host.saved,
                        now);
        restore(host, host.saved.snapshot());
    }

    /** With dynamic membership, a founder may form the group only with its first storage. */
    private Set<String> configuredHosts(Host host) {
        if (!settings.dynamicMembership()) {
            return hosts.keySet();
        }
        boolean isFounder = founders.contains(host.name) && !host.storageLost;
        return isFounder ? Set.copyOf(founders) : Set.of();
    }

    void kill(String name) {
        hosts.get(name).replica = null;
        ticketByIndex.get(name).clear();
    }

    /** Kills a host and drops the messages in flight to it. */
    void killWithConnections(String name) {
        kill(name);
        network.removeIf(inFlight -> inFlight.to().equals(name));
    }

    void wipe(String name) {
        kill(name);
        hosts.get(name).saved = SavedState.empty();
        hosts.get(name).incarnation = 0;
        hosts.get(name).storageLost = true;
    }

    void run(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += TICK_MILLIS) {
            now += TICK_MILLIS * MILLI;
            for (Host host : hosts.values()) {
                step(host, new ReplicaEvent.Tick());
            }
            deliver();
        }
    }

    Optional<Host> leader() {
        return hosts.values().stream()
                .filter(host -> host.replica != null && host.replica.holdsLease(now))
                .findFirst();
    }

    long leaseHolders() {
        return hosts.values().stream()
                .filter(host -> host.replica != null && host.replica.holdsLease(now))
                .count();
    }

    Host awaitLeader() {
        for (int attempt = 0; attempt < 600; attempt++) {
            Optional<Host> found = leader();
            if (found.isPresent()) {
                return found.get();
            }
            run(TICK_MILLIS);
        }
        throw new AssertionError("no leader in 12 s");
    }

    void propose(String host, String command) {
        long ticket = nextTicket++;
        pendingByTicket.put(ticket, command);
        step(
                hosts.get(host),
                new ReplicaEvent.Propose(
                        List.of(
                                new ReplicaEvent.Proposal(
                                        ticket, command.getBytes(StandardCharsets.UTF_8)))));
    }

    void compact(String name) {
        Host host = hosts.get(name);
        if (host.replica == null) {
            return;
        }
        byte[] state = String.join("\n", host.applied).getBytes(StandardCharsets.UTF_8);
        step(host, new ReplicaEvent.Compact(host.replica.commitIndex(), state));
    }

    void transfer(String leader, boolean stopping) {
        step(hosts.get(leader), new ReplicaEvent.Transfer(stopping));
    }

    void remove(String leader, String host) {
        step(hosts.get(leader), new ReplicaEvent.RemoveReplica(nextTicket++, host));
    }

    private void deliver() {
        List<InFlightEvent> batch = new ArrayList<>(network);
        network.clear();
        if (loss > 0) {
            java.util.Collections.shuffle(batch, random);
        }
        for (InFlightEvent inFlight : batch) {
            if (random.nextDouble() < loss || isPartitioned(inFlight)) {
                continue;
            }
            if (random.nextDouble() < duplication) {
                network.add(inFlight);
            }
            step(hosts.get(inFlight.to()), inFlight.event());
        }
    }

    private boolean isPartitioned(InFlightEvent inFlight) {
        return partitionedHosts.contains(inFlight.from())
                != partitionedHosts.contains(inFlight.to());
    }

    private void step(Host host, ReplicaEvent event) {
        if (host.replica == null) {
            return;
        }
        for (ReplicaEffect effect : host.replica.step(event, now)) {
            perform(host, effect);
        }
    }

    private void perform(Host host, ReplicaEffect effect) {
        SavedState saved = host.saved;
        switch (effect) {
            case ReplicaEffect.SaveHardState(HardState state) ->
                    host.saved = new SavedState(state, saved.snapshot(), saved.entries());
            case ReplicaEffect.SaveEntries(List<Entry> entries) -> saveEntries(host, entries);
            case ReplicaEffect.SaveSnapshot(Snapshot snapshot, boolean dropLog) -> {
                List<Entry> kept =
                        dropLog
                                ? List.of()
                                : saved.entries().stream()
                                        .filter(entry -> entry.index() > snapshot.lastIndex())
                                        .toList();
                host.saved = new SavedState(saved.hardState(), snapshot, kept);
            }
            case ReplicaEffect.Send(Message message) ->
                    network.add(
                            new InFlightEvent(
                                    host.name,
                                    message.to().host(),
                                    new ReplicaEvent.Received(message)));
            case ReplicaEffect.BroadcastHello(Hello hello) ->
                    hosts.keySet().stream()
                            .filter(name -> !name.equals(host.name))
                            .forEach(
                                    name ->
                                            network.add(
                                                    new InFlightEvent(
                                                            host.name,
                                                            name,
                                                            new ReplicaEvent.HelloReceived(
                                                                    hello))));
            case ReplicaEffect.SendHello(String to, Hello hello) ->
                    network.add(
                            new InFlightEvent(
                                    host.name, to, new ReplicaEvent.HelloReceived(hello)));
            case ReplicaEffect.Apply(List<Entry> entries) ->
                    entries.forEach(entry -> apply(host, entry));
            case ReplicaEffect.Restore(Snapshot snapshot) -> restore(host, snapshot);
            case ReplicaEffect.Accepted(long ticket, long term, long index) ->
                    ticketByIndex.get(host.name).put(index, ticket);
            case ReplicaEffect.RoleChanged(Role role, long term) -> recordRole(host, role, term);
            case ReplicaEffect.CaughtUp() -> {
                host.caughtUp = true;
                host.missingWhenCaughtUp.addAll(host.acknowledgedBefore);
                host.applied.forEach(host.missingWhenCaughtUp::remove);
            }
            case ReplicaEffect.Refused ignored -> {}
            case ReplicaEffect.ReadReady ignored -> {}
        }
    }

    private void recordRole(Host host, Role role, long term) {
        if (role == Role.LEADER) {
            List<Long> key = List.of(host.replica.formation(), term);
            ReplicaId before = leaderOfTerm.putIfAbsent(key, host.replica.id());
            if (before != null && !before.equals(host.replica.id())) {
                throw new AssertionError("two leaders in term " + term);
            }
        } else {
            ticketByIndex.get(host.name).clear();
        }
    }

    private void apply(Host host, Entry entry) {
        Long ticket = ticketByIndex.get(host.name).remove(entry.index());
        switch (entry.payload()) {
            case Payload.Command(byte[] bytes) -> {
                host.applied.add(new String(bytes, StandardCharsets.UTF_8));
                if (ticket != null) {
                    acknowledged.add(pendingByTicket.get(ticket));
                }
            }
            case Payload.Reformed ignored -> host.formations++;
            case Payload.MembershipChange ignored -> {}
            case Payload.Blank ignored -> {}
        }
    }

    private static void restore(Host host, Snapshot snapshot) {
        host.applied.clear();
        String text = new String(snapshot.state(), StandardCharsets.UTF_8);
        if (!text.isEmpty()) {
            host.applied.addAll(List.of(text.split("\n")));
        }
    }

    private static void saveEntries(Host host, List<Entry> entries) {
        long first = entries.getFirst().index();
        List<Entry> kept = new ArrayList<>();
        host.saved.entries().stream().filter(entry -> entry.index() < first).forEach(kept::add);
        kept.addAll(entries);
        host.saved = new SavedState(host.saved.hardState(), host.saved.snapshot(), kept);
    }
}
