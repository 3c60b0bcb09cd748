package io.stackhall.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

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
