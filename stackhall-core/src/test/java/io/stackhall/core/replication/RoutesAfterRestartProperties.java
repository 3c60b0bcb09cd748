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
 * Entry hosts that start anew beside control hosts that start anew never obey, on a quorum's word,
 * what was replaced before they started, and obey the newest soon after the last restart.
 *
 * <p>Control hosts tell what they hold once they have caught up. One of them, its primary, tells an
 * entry host whole configurations, all tell their versions, and the leader names the newest.
 */
class RoutesAfterRestartProperties {

    private static final String[] CONTROL = {"a", "b", "c"};
    private static final int ENTRY_HOSTS = 4;
    private static final int STEPS = 60;
    private static final long ROUND_MILLIS = 100;
    private static final long NONE = -1;
    private static final Duration PATIENCE = Duration.ofSeconds(4);

    /** The time within which an acknowledged change has to be in force. */
    private static final Duration APPLIED_WITHIN = Duration.ofSeconds(2);

    @Property(tries = 200, seed = "20261203")
    void whatWasReplacedBeforeAHostStartedIsNotObeyed(@ForAll long seed) {
        Run run = new Run(seed);
        for (int step = 0; step < STEPS; step++) {
            run.disturb();
        }
        run.checkAllObeyTheNewest();
    }

    /** One entry host in one of its lives. */
    private static final class EntryHost {
        private final RoutesConfirmation trust = new RoutesConfirmation(PATIENCE);
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
        private final FakeGroup group;
        private final List<EntryHost> entries = new ArrayList<>();
        private int version;

        Run(long seed) {
            random = new Random(seed);
            group = new FakeGroup(seed, true, CONTROL);
            group.awaitLeader();
            for (int count = 0; count < ENTRY_HOSTS; count++) {
                entries.add(started());
            }
        }

        void disturb() {
            switch (random.nextInt(10)) {
                case 0 -> restartAll();
                case 1 -> restartControl(CONTROL[random.nextInt(CONTROL.length)]);
                case 2 -> cut();
                case 3, 4 -> entries.set(random.nextInt(ENTRY_HOSTS), started());
                default -> change();
            }
            pass(random.nextInt(5));
        }

        void checkAllObeyTheNewest() {
            group.cutHosts.clear();
            for (String name : CONTROL) {
                if (group.hosts.get(name).replica == null) {
                    group.start(name);
                }
            }
            String leader = group.awaitLeader().name;
            group.propose(leader, Integer.toString(++version));
            pass(Math.toIntExact(APPLIED_WITHIN.toMillis() / ROUND_MILLIS));
            for (EntryHost entry : entries) {
                assertThat(entry.inForce).isGreaterThanOrEqualTo(newest(group.acknowledged));
            }
        }

        private void change() {
            group.leader().ifPresent(host -> group.propose(host.name, Integer.toString(++version)));
        }

        /** Cuts a control host off from the others, or heals that; entry hosts go on hearing it. */
        private void cut() {
            if (group.cutHosts.isEmpty()) {
                group.cutHosts.add(CONTROL[random.nextInt(CONTROL.length)]);
            } else {
                group.cutHosts.clear();
            }
        }

        private void restartAll() {
            for (String name : CONTROL) {
                group.killWithConnections(name);
                group.start(name);
            }
            entries.replaceAll(entry -> started());
        }

        private void restartControl(String name) {
            if (group.hosts.get(name).replica == null) {
                group.start(name);
            } else {
                group.killWithConnections(name);
            }
        }

        private EntryHost started() {
            return new EntryHost(
                    newest(group.acknowledged), CONTROL[random.nextInt(CONTROL.length)]);
        }

        private void pass(int rounds) {
            for (int round = 0; round < rounds; round++) {
                group.run(ROUND_MILLIS);
                entries.forEach(this::tell);
            }
        }

        private void tell(EntryHost entry) {
            long now = group.now();
            String asked = CONTROL[random.nextInt(CONTROL.length)];
            for (String name : CONTROL) {
                FakeGroup.Host control = group.hosts.get(name);
                if (control.replica == null || !control.caughtUp) {
                    continue;
                }
                long told = newest(control.applied);
                entry.trust.reported(told, now);
                boolean whole = name.equals(entry.primary) || name.equals(asked);
                if (whole && told > entry.trust.held()) {
                    entry.trust.received(told, now);
                }
            }
            if (!entry.trust.isConfirmed()) {
                group.leader()
                        .ifPresent(leader -> entry.trust.confirmed(newest(leader.applied), now));
            }
            obey(entry, now);
        }

        private void obey(EntryHost entry, long now) {
            if (!entry.trust.mayActivate(entry.inForce, now)) {
                return;
            }
            entry.inForce = entry.trust.held();
            if (entry.trust.isConfirmed()) {
                assertThat(entry.inForce).isGreaterThanOrEqualTo(entry.acknowledgedBefore);
            }
        }

        private static long newest(Collection<String> versions) {
            return versions.stream().mapToLong(Long::parseLong).max().orElse(NONE);
        }
    }
}
