package io.stackhall.core.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A group whose hosts come and go. */
class OpenGroupTest {

    private static final long LONG_ENOUGH_MILLIS = 6000;

    @Test
    void foundersFormTheGroupAndOthersOnlyFollow() {
        FakeGroup group = FakeGroup.open(1, "a", "b", "c");
        group.join("d");
        FakeGroup.Host leader = group.awaitLeader();
        group.propose(leader.name, "one");
        group.run(LONG_ENOUGH_MILLIS);
        assertThat(hostsOf(leader.replica.membership().voters())).containsExactly("a", "b", "c");
        assertThat(hostsOf(leader.replica.membership().learners())).containsExactly("d");
        assertThat(group.hosts.get("d").applied).containsExactly("one");
    }

    @Test
    void hostsThatOnlyJoinNeverFormAGroup() {
        FakeGroup group = FakeGroup.open(2, "a", "b", "c");
        List.of("a", "b", "c").forEach(group::wipe);
        List.of("a", "b", "c").forEach(group::start);
        group.join("d");
        group.run(LONG_ENOUGH_MILLIS);
        assertThat(group.leader()).isEmpty();
    }

    @Test
    void joiningHostTakesThePlaceOfOneThatIsGone() {
        FakeGroup group = FakeGroup.open(3, "a", "b", "c");
        FakeGroup.Host leader = group.awaitLeader();
        group.propose(leader.name, "one");
        group.run(1000);
        String gone = leader.name.equals("a") ? "b" : "a";
        group.kill(gone);
        group.join("d");
        group.run(LONG_ENOUGH_MILLIS);
        List<String> voters = hostsOf(group.awaitLeader().replica.membership().voters());
        assertThat(voters).hasSize(3).contains("d").doesNotContain(gone);
    }

    @Test
    void everyFounderCanBeReplacedInTurnWithoutLoss() {
        FakeGroup group = FakeGroup.open(4, "a", "b", "c");
        List<String> founders = List.of("a", "b", "c");
        for (int turn = 0; turn < founders.size(); turn++) {
            group.propose(group.awaitLeader().name, "change-" + turn);
            group.run(500);
            group.kill(founders.get(turn));
            group.join("new-" + turn);
            group.run(LONG_ENOUGH_MILLIS);
        }
        FakeGroup.Host leader = group.awaitLeader();
        assertThat(hostsOf(leader.replica.membership().voters()))
                .containsExactly("new-0", "new-1", "new-2");
        assertThat(leader.applied).containsExactly("change-0", "change-1", "change-2");
        assertThat(group.acknowledged).containsExactly("change-0", "change-1", "change-2");
    }

    @Test
    void wipedVoterJoinsAgainAsAnotherAndThenASecondMayBeLost() {
        FakeGroup group = FakeGroup.open(5, "a", "b", "c");
        FakeGroup.Host leader = group.awaitLeader();
        group.propose(leader.name, "one");
        group.run(500);
        String wiped = leader.name.equals("a") ? "b" : "a";
        group.wipe(wiped);
        group.start(wiped);
        group.run(LONG_ENOUGH_MILLIS);
        group.wipe(group.awaitLeader().name);
        FakeGroup.Host next = group.awaitLeader();
        assertThat(next.applied).containsExactly("one");
    }

    @Test
    void voterThatIsOnlySlowToAnswerKeepsItsPlace() {
        FakeGroup group = FakeGroup.open(6, "a", "b", "c");
        FakeGroup.Host leader = group.awaitLeader();
        group.join("d");
        group.run(1000);
        String cut = leader.name.equals("a") ? "b" : "a";
        group.cutHosts.add(cut);
        group.run(1500);
        group.cutHosts.clear();
        group.run(LONG_ENOUGH_MILLIS);
        List<String> voters = hostsOf(group.awaitLeader().replica.membership().voters());
        assertThat(voters).containsExactly("a", "b", "c");
    }

    private static List<String> hostsOf(List<ReplicaId> replicas) {
        return replicas.stream().map(ReplicaId::host).toList();
    }
}
