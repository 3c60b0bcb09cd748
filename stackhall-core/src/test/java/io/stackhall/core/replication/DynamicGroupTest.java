package io.stackhall.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of a group with dynamic membership, which hosts join and leave at run time. */
class DynamicGroupTest {

    private static final long CONVERGENCE_MILLIS = 6000;

    @Test
    void foundersBecomeVotersAndOtherHostsLearners() {
        SimulatedGroup group = SimulatedGroup.withDynamicMembership(1, "a", "b", "c");
        group.join("d");
        SimulatedGroup.Host leader = group.awaitLeader();
        group.propose(leader.name, "one");
        group.run(CONVERGENCE_MILLIS);
        assertThat(hostsOf(leader.replica.membership().voters())).containsExactly("a", "b", "c");
        assertThat(hostsOf(leader.replica.membership().learners())).containsExactly("d");
        assertThat(group.hosts.get("d").applied).containsExactly("one");
    }

    @Test
    void hostsThatOnlyJoinNeverFormAGroup() {
        SimulatedGroup group = SimulatedGroup.withDynamicMembership(2, "a", "b", "c");
        List.of("a", "b", "c").forEach(group::wipe);
        List.of("a", "b", "c").forEach(group::start);
        group.join("d");
        group.run(CONVERGENCE_MILLIS);
        assertThat(group.leader()).isEmpty();
    }

    // The others waited for it for ever.
    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void groupFormsThoughAFounderIsLostBeforeItHasFormed(String lost) {
        SimulatedGroup group = SimulatedGroup.withDynamicMembership(7, "a", "b", "c");
        group.kill(lost);
        group.join("d");
        SimulatedGroup.Host leader = group.awaitLeader();
        group.propose(leader.name, "one");
        group.run(CONVERGENCE_MILLIS);
        List<String> voters = hostsOf(group.awaitLeader().replica.membership().voters());
        assertThat(voters).hasSize(3).contains("d").doesNotContain(lost);
        assertThat(group.hosts.get("d").applied).containsExactly("one");
    }

    // It left forming the group to the others, which left it to the one that sorts first.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void groupFormsThoughTheFirstFounderStartsAgain(boolean storageLost) {
        SimulatedGroup group = SimulatedGroup.withDynamicMembership(8, "a", "b", "c");
        if (storageLost) {
            group.wipe("a");
        } else {
            group.kill("a");
        }
        group.start("a");
        group.awaitLeader();
        group.run(CONVERGENCE_MILLIS);
        assertThat(hostsOf(group.awaitLeader().replica.membership().voters()))
                .containsExactly("a", "b", "c");
    }

    @Test
    void groupFormsThoughAllFoundersAreKilledBeforeItHasFormed() {
        SimulatedGroup group = SimulatedGroup.withDynamicMembership(9, "a", "b", "c");
        List.of("a", "b", "c").forEach(group::kill);
        List.of("a", "b", "c").forEach(group::start);
        group.awaitLeader();
    }

    @Test
    void founderThatIsAloneFormsNoGroup() {
        SimulatedGroup group = SimulatedGroup.withDynamicMembership(10, "a", "b", "c");
        group.partitionedHosts.add("c");
        SimulatedGroup.Host leader = group.awaitLeader();
        group.run(2 * CONVERGENCE_MILLIS);
        assertThat(group.hosts.get("c").replica.formation()).isZero();
        group.partitionedHosts.clear();
        group.run(CONVERGENCE_MILLIS);
        assertThat(group.hosts.get("c").replica.formation()).isEqualTo(leader.replica.formation());
    }

    // The loss of one disk, beside hosts that come and go, must not lead to a second group.
    @Property(tries = 300)
    void twoGroupsNeverCommit(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        SimulatedGroup group = SimulatedGroup.withDynamicMembership(seed, "a", "b", "c");
        List<String> founders = List.of("a", "b", "c");
        boolean wiped = false;
        group.setFaults(random.nextInt(3) * 0.1, 0.05);
        for (int step = 0; step < 60; step++) {
            String host = founders.get(random.nextInt(founders.size()));
            switch (random.nextInt(7)) {
                case 0 -> group.kill(host);
                case 1, 2 -> founders.forEach(name -> startIfDown(group, name));
                case 3 -> group.partitionedHosts.add(host);
                case 4 -> group.partitionedHosts.clear();
                case 5 -> {
                    if (!wiped && random.nextInt(5) == 0) {
                        group.wipe(host);
                        wiped = true;
                    }
                }
                default -> group.leader().ifPresent(one -> group.propose(one.name, "x"));
            }
            group.run(100L * random.nextInt(15));
            assertThat(committedFormations(group)).hasSizeLessThanOrEqualTo(1);
        }
    }

    private static void startIfDown(SimulatedGroup group, String name) {
        if (group.hosts.get(name).replica == null) {
            group.start(name);
        }
    }

    private static Set<Long> committedFormations(SimulatedGroup group) {
        return group.hosts.values().stream()
                .map(host -> host.replica)
                .filter(replica -> replica != null && replica.commitIndex() > 0)
                .map(Replica::formation)
                .collect(Collectors.toSet());
    }

    @Test
    void joiningHostReplacesFailedVoter() {
        SimulatedGroup group = SimulatedGroup.withDynamicMembership(3, "a", "b", "c");
        SimulatedGroup.Host leader = group.awaitLeader();
        group.propose(leader.name, "one");
        group.run(1000);
        String failed = leader.name.equals("a") ? "b" : "a";
        group.kill(failed);
        group.join("d");
        group.run(CONVERGENCE_MILLIS);
        List<String> voters = hostsOf(group.awaitLeader().replica.membership().voters());
        assertThat(voters).hasSize(3).contains("d").doesNotContain(failed);
    }

    @Test
    void allFoundersCanBeReplacedOneByOneWithoutLoss() {
        SimulatedGroup group = SimulatedGroup.withDynamicMembership(4, "a", "b", "c");
        List<String> founders = List.of("a", "b", "c");
        for (int index = 0; index < founders.size(); index++) {
            group.propose(group.awaitLeader().name, "change-" + index);
            group.run(500);
            group.kill(founders.get(index));
            group.join("new-" + index);
            group.run(CONVERGENCE_MILLIS);
        }
        SimulatedGroup.Host leader = group.awaitLeader();
        assertThat(hostsOf(leader.replica.membership().voters()))
                .containsExactly("new-0", "new-1", "new-2");
        assertThat(leader.applied).containsExactly("change-0", "change-1", "change-2");
        assertThat(group.acknowledged).containsExactly("change-0", "change-1", "change-2");
    }

    @Test
    void groupSurvivesLossOfSecondVoterAfterWipedVoterRejoined() {
        SimulatedGroup group = SimulatedGroup.withDynamicMembership(5, "a", "b", "c");
        SimulatedGroup.Host leader = group.awaitLeader();
        group.propose(leader.name, "one");
        group.run(500);
        String wiped = leader.name.equals("a") ? "b" : "a";
        group.wipe(wiped);
        group.start(wiped);
        group.run(CONVERGENCE_MILLIS);
        group.wipe(group.awaitLeader().name);
        SimulatedGroup.Host next = group.awaitLeader();
        assertThat(next.applied).containsExactly("one");
    }

    @Test
    void brieflyUnreachableVoterIsNotReplaced() {
        SimulatedGroup group = SimulatedGroup.withDynamicMembership(6, "a", "b", "c");
        SimulatedGroup.Host leader = group.awaitLeader();
        group.join("d");
        group.run(1000);
        String partitioned = leader.name.equals("a") ? "b" : "a";
        group.partitionedHosts.add(partitioned);
        group.run(1500);
        group.partitionedHosts.clear();
        group.run(CONVERGENCE_MILLIS);
        List<String> voters = hostsOf(group.awaitLeader().replica.membership().voters());
        assertThat(voters).containsExactly("a", "b", "c");
    }

    private static List<String> hostsOf(List<ReplicaId> replicas) {
        return replicas.stream().map(ReplicaId::host).toList();
    }
}
