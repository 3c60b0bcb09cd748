package io.stackhall.server.group;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.replication.Hello;
import io.stackhall.core.replication.Message;
import io.stackhall.core.replication.ReplicaSettings;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.storage.DiskStorage;
import io.stackhall.server.storage.ReplicaStorage;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A voter whose disk fails for a while votes and keeps what is committed once it can write. */
class FullDiskOfOneVoterTest {

    private static final Set<String> HOSTS = Set.of("a", "b", "c");
    private static final ReplicaSettings TIMES =
            new ReplicaSettings(
                    Duration.ofMillis(300), Duration.ofMillis(40), Duration.ofMillis(30), 64, 0);
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<String, GroupHost> hosts = new ConcurrentHashMap<>();
    private final Map<String, Lines> states = new ConcurrentHashMap<>();
    private final Set<String> full = ConcurrentHashMap.newKeySet();
    private volatile FailingStorage.Call failing = FailingStorage.Call.ENTRIES;

    @TempDir private Path folder;

    @BeforeEach
    void start() throws IOException {
        for (String name : HOSTS) {
            hosts.put(name, host(name));
        }
        hosts.values().forEach(GroupHost::start);
    }

    @AfterEach
    void stop() throws IOException {
        for (GroupHost host : hosts.values()) {
            host.close();
        }
    }

    @ParameterizedTest
    @EnumSource(FailingStorage.Call.class)
    void followerIsAVoterAgainOnceItsDiskHasRoom(FailingStorage.Call call) throws Exception {
        commit("one");
        String leader = leader();
        String sick = HOSTS.stream().filter(name -> !name.equals(leader)).findFirst().get();
        failing = call;
        full.add(sick);
        commit("two");
        full.clear();
        hosts.remove(leader).close();
        commit("three");
        await(() -> states.get(sick).all().equals(List.of("one", "two", "three")));
    }

    @ParameterizedTest
    @EnumSource(FailingStorage.Call.class)
    void leaderIsAVoterAgainOnceItsDiskHasRoom(FailingStorage.Call call) throws Exception {
        commit("one");
        String sick = leader();
        failing = call;
        full.add(sick);
        commit("two");
        full.clear();
        String other = HOSTS.stream().filter(name -> !name.equals(sick)).findFirst().get();
        hosts.remove(other).close();
        commit("three");
        await(() -> states.get(sick).all().equals(List.of("one", "two", "three")));
    }

    @ParameterizedTest
    @EnumSource(names = {"ENTRIES", "SYNC"})
    void commandThatTheDiskFailsOnIsNotRefusedAsItMayBeKept(FailingStorage.Call call) {
        commit("one");
        String sick = leader();
        failing = call;
        full.add(sick);
        assertThat(outcome(hosts.get(sick), "two".getBytes(StandardCharsets.UTF_8)))
                .isInstanceOf(CommandOutcome.Unknown.class);
    }

    /** Sends a line to whoever leads until it is committed; it is taken over once. */
    private void commit(String line) {
        byte[] command = line.getBytes(StandardCharsets.UTF_8);
        await(
                () ->
                        hosts.values().stream()
                                .anyMatch(
                                        host ->
                                                outcome(host, command)
                                                        instanceof CommandOutcome.Done));
    }

    private static CommandOutcome outcome(GroupHost host, byte[] command) {
        try {
            return host.command(command).get(1, TimeUnit.SECONDS);
        } catch (Exception e) {
            return new CommandOutcome.Unknown(e.toString());
        }
    }

    private String leader() {
        await(() -> hosts.values().stream().anyMatch(GroupHost::holdsLeaseNow));
        return hosts.entrySet().stream()
                .filter(host -> host.getValue().holdsLeaseNow())
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private static void await(BooleanSupplier condition) {
        long end = BootClock.nanos() + PATIENCE_NANOS;
        while (!condition.getAsBoolean()) {
            assertThat(BootClock.nanos()).as("in time").isLessThan(end);
            try {
                TimeUnit.MILLISECONDS.sleep(20);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted", e);
            }
        }
    }

    private GroupHost host(String name) throws IOException {
        Random random = new Random(name.hashCode());
        Lines lines = new Lines();
        states.put(name, lines);
        return new GroupHost(
                "g",
                name,
                HOSTS,
                TIMES,
                () -> storage(name, random),
                lines,
                new Wire(),
                new Silent(),
                random,
                BootClock.nanos());
    }

    private ReplicaStorage storage(String name, Random random) throws IOException {
        return new FailingStorage(
                DiskStorage.open(folder.resolve(name), random, 0),
                call -> full.contains(name) && call == failing);
    }

    /** Keeps each line once, so that one sent again after a lost answer changes nothing. */
    private static final class Lines implements GroupState {
        private final List<String> lines = new ArrayList<>();

        synchronized List<String> all() {
            return List.copyOf(lines);
        }

        @Override
        public synchronized byte[] apply(byte[] command) {
            String line = new String(command, StandardCharsets.UTF_8);
            if (!lines.contains(line)) {
                lines.add(line);
            }
            return command;
        }

        @Override
        public byte[] query(byte[] question) {
            return question;
        }

        @Override
        public synchronized byte[] snapshot() {
            return String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public synchronized void restore(byte[] snapshot) {
            lines.clear();
            if (snapshot.length > 0) {
                lines.addAll(List.of(new String(snapshot, StandardCharsets.UTF_8).split("\n")));
            }
        }

        @Override
        public void reformed(boolean memoryLost) {
            if (memoryLost) {
                throw new IllegalStateException("no majority was lost");
            }
        }
    }

    /** Delivers everything to the hosts that run. */
    private final class Wire implements GroupWire {
        @Override
        public void send(String group, Message message) {
            GroupHost to = hosts.get(message.to().host());
            if (to != null) {
                to.receive(message);
            }
        }

        @Override
        public void announce(String group, Hello hello) {
            hosts.forEach(
                    (name, to) -> {
                        if (!name.equals(hello.replica().host())) {
                            to.receive(hello);
                        }
                    });
        }

        @Override
        public void answer(String group, String host, Hello hello) {
            GroupHost to = hosts.get(host);
            if (to != null) {
                to.receive(hello);
            }
        }
    }

    /** Hears nothing. */
    private static final class Silent implements GroupListener {
        @Override
        public void changed() {
            // The states themselves are looked at.
        }

        @Override
        public void led(boolean leading) {
            // The views are looked at.
        }
    }
}
