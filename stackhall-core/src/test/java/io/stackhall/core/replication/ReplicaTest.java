package io.stackhall.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests of a group of replicas under specific single failures. */
class ReplicaTest {

    private static final long SEED = 7;

    @Test
    void groupOfOneCommitsAlone() {
        SimulatedGroup group = new SimulatedGroup(SEED, true, "a");
        group.awaitLeader();
        group.propose("a", "x");
        assertThat(group.hosts.get("a").applied).containsExactly("x");
    }

    @Test
    void commandsReachEveryReplicaInOrder() {
        SimulatedGroup group = new SimulatedGroup(SEED, true, "a", "b", "c");
        String leader = group.awaitLeader().name;
        group.propose(leader, "1");
        group.propose(leader, "2");
        group.run(500);
        assertThat(group.hosts.values())
                .allSatisfy(host -> assertThat(host.applied).containsExactly("1", "2"));
    }

    @Test
    void transferredLeadershipRotatesThroughAllVoters() {
        SimulatedGroup group = new SimulatedGroup(SEED, true, "a", "b", "c");
        Set<String> led = new HashSet<>();
        for (int turn = 0; turn < 3; turn++) {
            String leader = group.awaitLeader().name;
            led.add(leader);
            group.transfer(leader, false);
            group.run(2000);
        }
        assertThat(led).containsExactlyInAnyOrder("a", "b", "c");
    }

    // It would have deposed a leader whose lease holds.
    @Test
    void transferOfAnEarlierTermStartsNoElection() {
        SimulatedGroup group = new SimulatedGroup(SEED, true, "a", "b", "c");
        group.transfer(group.awaitLeader().name, false);
        group.run(2000);
        Replica leader = group.awaitLeader().replica;
        Replica follower =
                group.hosts.values().stream()
                        .map(host -> host.replica)
                        .filter(replica -> !replica.equals(leader))
                        .findFirst()
                        .orElseThrow();
        long term = follower.term();
        Message late =
                new Message(
                        leader.id(),
                        follower.id(),
                        follower.formation(),
                        term - 1,
                        new Message.TimeoutNow());
        follower.step(new ReplicaEvent.Received(late), group.now());
        assertThat(follower.term()).isEqualTo(term);
        assertThat(follower.role()).isEqualTo(Role.FOLLOWER);
    }

    @Test
    void leaderWithoutSuccessorAcceptsCommandsUnlessStopping() {
        SimulatedGroup group = new SimulatedGroup(SEED, true, "a");
        group.awaitLeader();
        group.transfer("a", false);
        group.propose("a", "kept");
        group.transfer("a", true);
        group.propose("a", "refused");
        group.run(500);
        assertThat(group.hosts.get("a").applied).containsExactly("kept");
    }

    @Test
    void durableReplicasFormGroupOnce() {
        SimulatedGroup group = new SimulatedGroup(SEED, true, "a", "b", "c");
        group.awaitLeader();
        group.run(3000);
        assertThat(group.hosts.values()).allSatisfy(host -> assertThat(host.formations).isOne());
    }

    @Test
    void partitionedLeaderLosesLeaseBeforeAnotherIsGranted() {
        SimulatedGroup group = new SimulatedGroup(SEED, true, "a", "b", "c");
        String first = group.awaitLeader().name;
        group.partitionedHosts.add(first);
        for (int tick = 0; tick < 300; tick++) {
            group.run(SimulatedGroup.TICK_MILLIS);
            assertThat(group.leaseHolders()).isLessThanOrEqualTo(1);
        }
        assertThat(group.awaitLeader().name).isNotEqualTo(first);
    }

    @Test
    void uncommittedCommandOfPartitionedLeaderIsReplaced() {
        SimulatedGroup group = new SimulatedGroup(SEED, true, "a", "b", "c");
        String first = group.awaitLeader().name;
        group.partitionedHosts.add(first);
        group.propose(first, "lost");
        group.run(4000);
        String second = group.awaitLeader().name;
        group.propose(second, "kept");
        group.run(500);
        group.partitionedHosts.clear();
        group.run(3000);
        assertThat(group.hosts.get(first).applied).containsExactly("kept");
        assertThat(group.acknowledged).containsExactly("kept");
    }

    @Test
    void groupSurvivesLossOfSecondHostAfterWipedReplicaRejoined() {
        SimulatedGroup group = new SimulatedGroup(SEED, true, "a", "b", "c");
        String leader = group.awaitLeader().name;
        group.propose(leader, "kept");
        group.run(500);
        List<String> others =
                group.hosts.keySet().stream().filter(name -> !name.equals(leader)).toList();
        ReplicaId before = group.hosts.get(others.getFirst()).replica.id();
        group.wipe(others.getFirst());
        group.run(1000);
        group.start(others.getFirst());
        group.run(4000);
        assertThat(group.hosts.get(leader).replica.membership().voters())
                .doesNotContain(before)
                .hasSize(3);
        group.kill(others.getLast());
        group.run(4000);
        group.propose(group.awaitLeader().name, "after");
        group.run(500);
        assertThat(group.hosts.get(others.getFirst()).applied).containsExactly("kept", "after");
    }

    @Test
    void volatileGroupReformsFromSurvivor() {
        SimulatedGroup group = new SimulatedGroup(SEED, false, "a", "b", "c");
        group.awaitLeader();
        group.propose(group.awaitLeader().name, "kept");
        group.run(500);
        group.kill("b");
        group.kill("c");
        group.start("b");
        group.start("c");
        group.run(8000);
        group.awaitLeader();
        assertThat(group.hosts.values())
                .allSatisfy(host -> assertThat(host.applied).containsExactly("kept"))
                .allSatisfy(host -> assertThat(host.formations).isPositive());
    }

    @Test
    void volatileGroupThatLostEveryReplicaFormsAgain() {
        SimulatedGroup group = new SimulatedGroup(SEED, false, "a", "b", "c");
        group.awaitLeader();
        group.hosts.keySet().forEach(group::kill);
        group.hosts.keySet().forEach(group::start);
        group.awaitLeader();
        group.propose(group.awaitLeader().name, "new");
        group.run(500);
        assertThat(group.hosts.get("c").applied).containsExactly("new");
    }

    @Test
    void removalThatBreaksQuorumIsRefused() {
        SimulatedGroup group = new SimulatedGroup(SEED, true, "a", "b", "c");
        String leader = group.awaitLeader().name;
        List<String> others =
                group.hosts.keySet().stream().filter(name -> !name.equals(leader)).toList();
        group.kill(others.getFirst());
        group.run(1500);
        group.remove(leader, others.getLast());
        group.run(500);
        assertThat(group.hosts.get(leader).replica.membership().voters()).hasSize(3);
        group.remove(leader, others.getFirst());
        group.run(500);
        assertThat(group.hosts.get(leader).replica.membership().voters()).hasSize(2);
    }

    @Test
    void delayedSnapshotKeepsAcknowledgedEntries() {
        Follower follower = new Follower();
        follower.receive(
                5,
                new Message.AppendRequest(
                        0, 0, List.of(entry(1), entry(2), entry(3), entry(4)), 1, 1));
        Snapshot late = new Snapshot(3, 5, Follower.MEMBERSHIP, new byte[0]);
        follower.receive(5, new Message.SnapshotRequest(late, 2));
        assertThat(follower.replica.lastIndex()).isEqualTo(4);
        assertThat(follower.replica.commitIndex()).isEqualTo(3);
    }

    @Test
    void followerIgnoresVoteRequestsWithinGrantedLease() {
        Follower follower = new Follower();
        follower.receive(5, new Message.AppendRequest(0, 0, List.of(entry(1)), 0, 1));
        Message.VoteRequest request = new Message.VoteRequest(9, 9, false, false);
        assertThat(follower.receive(9, request)).isEmpty();
        assertThat(follower.replica.term()).isEqualTo(5);
        follower.now += 3000 * SimulatedGroup.MILLI;
        assertThat(follower.receive(9, request)).contains(new Message.VoteReply(true, false));
    }

    /** A single replica that receives messages as a follower of a leader on another host. */
    private static final class Follower {
        private static final ReplicaId SELF = new ReplicaId("a", 1);
        private static final ReplicaId LEADER = new ReplicaId("b", 2);
        private static final Membership MEMBERSHIP =
                new Membership(List.of(SELF, LEADER, new ReplicaId("c", 3)), List.of());
        private static final long FORMATION = 7;

        private long now = 1000 * SimulatedGroup.MILLI;
        private final Replica replica =
                new Replica(
                        SELF,
                        true,
                        Set.of("a", "b", "c"),
                        ReplicaSettings.standard(),
                        new Random(1),
                        new SavedState(
                                new HardState(FORMATION, 4, Optional.empty()),
                                Snapshot.empty(),
                                List.of()),
                        now);

        /** Passes in a message from the leader and returns the bodies of the replies. */
        private List<Message.Body> receive(long term, Message.Body body) {
            Message message = new Message(LEADER, SELF, FORMATION, term, body);
            List<Message.Body> sent = new ArrayList<>();
            for (ReplicaEffect effect : replica.step(new ReplicaEvent.Received(message), now)) {
                if (effect instanceof ReplicaEffect.Send(Message reply)) {
                    sent.add(reply.body());
                }
            }
            return sent;
        }
    }

    private static Entry entry(long index) {
        Payload payload =
                index == 1
                        ? new Payload.MembershipChange(Follower.MEMBERSHIP)
                        : new Payload.Command(new byte[] {1});
        return new Entry(5, index, payload);
    }

    @Test
    void restartedGroupElectsLeaderOnceOldLeasesExpired() {
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedGroup group = new SimulatedGroup(seed, true, "a", "b", "c");
            group.awaitLeader();
            group.run(2000);
            List.of("a", "b", "c").forEach(group::kill);
            List.of("a", "b", "c").forEach(group::start);
            group.run(1200);
            assertThat(group.leader()).as("seed " + seed).isPresent();
        }
    }

    @Test
    void lateReplicaCatchesUpFromSnapshot() {
        SimulatedGroup group = new SimulatedGroup(SEED, true, "a", "b", "c");
        String leader = group.awaitLeader().name;
        String late =
                group.hosts.keySet().stream()
                        .filter(name -> !name.equals(leader))
                        .findFirst()
                        .orElseThrow();
        group.kill(late);
        for (int count = 0; count < 50; count++) {
            group.propose(leader, "c" + count);
        }
        group.run(500);
        group.compact(leader);
        group.start(late);
        group.run(4000);
        assertThat(group.hosts.get(late).applied).hasSize(50);
        assertThat(group.hosts.get(late).replica.snapshotIndex()).isPositive();
    }
}
