package io.stackhall.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.route.RoutesConfirmation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * When entry hosts and control hosts restart, an entry host never puts a configuration into force
 * as confirmed by a quorum that was replaced before the entry host started, and puts the newest one
 * into force soon after the last restart.
 *
 * <p>Control hosts send updates once they have caught up. All of them send the version that they
 * hold; only the primary of an entry host, and at times another control host, sends the whole
 * configuration. The leader confirms the newest version.
 */
class RoutesAfterRestartProperties {

    private static final String[] CONTROL = {"a", "b", "c"};
    private static final int ENTRY_HOSTS = 4;
    private static final int STEPS = 60;
    private static final long ROUND_MILLIS = 100;
    private static final long NONE = -1;
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(4);

    /** The time within which an acknowledged change must be in force on every entry host. */
    private static final Duration APPLIED_WITHIN = Duration.ofSeconds(2);

    @Property(tries = 200, seed = "20261203")
    void restartedEntryHostNeverConfirmsReplacedConfiguration(@ForAll long seed) {
        Run run = new Run(seed);
        for (int step = 0; step < STEPS; step++) {
            run.injectFault();
        }
        run.checkNewestInForceEverywhere();
    }

    /** One incarnation of an entry host. */
    private static final class EntryHost {
        private final RoutesConfirmation confirmation =
                new RoutesConfirmation(CONFIRMATION_TIMEOUT);
        private final long acknowledgedBefore;
        private final String primary;
        private long inForce = NONE;

        EntryHost(long acknowledgedBefore, String primary) {
            this.acknowledgedBefore = acknowledgedBefore;
            this.primary = primary;
        }
    }

    /** One random run. */
    private static final class Run {
        private final Random random;
        private final SimulatedGroup group;
        private final List<EntryHost> entries = new ArrayList<>();
        private int version;

        Run(long seed) {
            random = new Random(seed);
            group = new SimulatedGroup(seed, true, CONTROL);
            group.awaitLeader();
            for (int count = 0; count < ENTRY_HOSTS; count++) {
                entries.add(newEntryHost());
            }
        }

        void injectFault() {
            switch (random.nextInt(10)) {
                case 0 -> restartAll();
                case 1 -> restartControl(CONTROL[random.nextInt(CONTROL.length)]);
                case 2 -> togglePartition();
                case 3, 4 -> entries.set(random.nextInt(ENTRY_HOSTS), newEntryHost());
                default -> change();
            }
            advance(random.nextInt(5));
        }

        void checkNewestInForceEverywhere() {
            group.partitionedHosts.clear();
            for (String name : CONTROL) {
                if (group.hosts.get(name).replica == null) {
                    group.start(name);
                }
            }
            String leader = group.awaitLeader().name;
            group.propose(leader, Integer.toString(++version));
            advance(Math.toIntExact(APPLIED_WITHIN.toMillis() / ROUND_MILLIS));
            for (EntryHost entry : entries) {
                assertThat(entry.inForce).isGreaterThanOrEqualTo(newest(group.acknowledged));
            }
        }

        private void change() {
            group.leader().ifPresent(host -> group.propose(host.name, Integer.toString(++version)));
        }

        /**
         * Partitions a control host from the other control hosts, or heals the partition. Entry
         * hosts receive its updates all the time.
         */
        private void togglePartition() {
            if (group.partitionedHosts.isEmpty()) {
                group.partitionedHosts.add(CONTROL[random.nextInt(CONTROL.length)]);
            } else {
                group.partitionedHosts.clear();
            }
        }

        private void restartAll() {
            for (String name : CONTROL) {
                group.killWithConnections(name);
                group.start(name);
            }
            entries.replaceAll(entry -> newEntryHost());
        }

        private void restartControl(String name) {
            if (group.hosts.get(name).replica == null) {
                group.start(name);
            } else {
                group.killWithConnections(name);
            }
        }

        private EntryHost newEntryHost() {
            return new EntryHost(
                    newest(group.acknowledged), CONTROL[random.nextInt(CONTROL.length)]);
        }

        private void advance(int rounds) {
            for (int round = 0; round < rounds; round++) {
                group.run(ROUND_MILLIS);
                entries.forEach(this::sendUpdates);
            }
        }

        private void sendUpdates(EntryHost entry) {
            long now = group.now();
            String queriedHost = CONTROL[random.nextInt(CONTROL.length)];
            for (String name : CONTROL) {
                SimulatedGroup.Host control = group.hosts.get(name);
                if (control.replica == null || !control.caughtUp) {
                    continue;
                }
                long latest = newest(control.applied);
                entry.confirmation.reported(latest, now);
                boolean sendsConfiguration = name.equals(entry.primary) || name.equals(queriedHost);
                if (sendsConfiguration && latest > entry.confirmation.held()) {
                    entry.confirmation.received(latest, now);
                }
            }
            if (!entry.confirmation.isConfirmed()) {
                group.leader()
                        .ifPresent(
                                leader ->
                                        entry.confirmation.confirmed(newest(leader.applied), now));
            }
            applyIfAllowed(entry, now);
        }

        private void applyIfAllowed(EntryHost entry, long now) {
            if (!entry.confirmation.mayActivate(entry.inForce, now)) {
                return;
            }
            entry.inForce = entry.confirmation.held();
            if (entry.confirmation.isConfirmed()) {
                assertThat(entry.inForce).isGreaterThanOrEqualTo(entry.acknowledgedBefore);
            }
        }

        private static long newest(Collection<String> versions) {
            return versions.stream().mapToLong(Long::parseLong).max().orElse(NONE);
        }
    }
}
