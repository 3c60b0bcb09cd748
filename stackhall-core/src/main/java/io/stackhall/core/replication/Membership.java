package io.stackhall.core.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The replicas of a group: voters, which count towards a quorum, and learners, which do not.
 *
 * @param voters the voting replicas, sorted by id
 * @param learners the replicas that receive the log without a vote, sorted by id and disjoint from
 *     the voters
 */
public record Membership(List<ReplicaId> voters, List<ReplicaId> learners) {

    /** Sorts and copies the lists and checks that no replica is in both. */
    public Membership {
        voters = sorted(voters);
        learners = sorted(learners);
        for (ReplicaId learner : learners) {
            if (voters.contains(learner)) {
                throw new IllegalArgumentException(learner + " is both voter and learner");
            }
        }
    }

    /** Returns a membership without replicas. */
    public static Membership empty() {
        return new Membership(List.of(), List.of());
    }

    /** Returns the number of voters that form a majority. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Returns whether the replica is a voter or a learner. */
    public boolean contains(ReplicaId replica) {
        return voters.contains(replica) || learners.contains(replica);
    }

    /** Returns the other voters in cyclic order of their ids, starting after the given replica. */
    public List<ReplicaId> votersAfter(ReplicaId self) {
        List<ReplicaId> rotated = new ArrayList<>(voters);
        int position = voters.indexOf(self);
        if (position >= 0) {
            Collections.rotate(rotated, -position);
            rotated.removeFirst();
        }
        return rotated;
    }

    /** Returns all voters and learners except the given replica. */
    public List<ReplicaId> allExcept(ReplicaId self) {
        List<ReplicaId> others = new ArrayList<>(voters);
        others.addAll(learners);
        others.remove(self);
        return others;
    }

    /** Returns the voter on a host, if there is one. */
    public Optional<ReplicaId> voterOnHost(String host) {
        return voters.stream().filter(voter -> voter.host().equals(host)).findFirst();
    }

    /** Returns this membership with a learner added, replacing other learners on its host. */
    public Membership withLearner(ReplicaId learner) {
        List<ReplicaId> next = new ArrayList<>(learners);
        next.removeIf(other -> other.host().equals(learner.host()));
        next.add(learner);
        return new Membership(voters, next);
    }

    /** Returns this membership with a learner promoted to voter. */
    public Membership withPromoted(ReplicaId learner) {
        List<ReplicaId> nextVoters = new ArrayList<>(voters);
        nextVoters.add(learner);
        List<ReplicaId> nextLearners = new ArrayList<>(learners);
        nextLearners.remove(learner);
        return new Membership(nextVoters, nextLearners);
    }

    /** Returns this membership without a replica. */
    public Membership without(ReplicaId replica) {
        List<ReplicaId> nextVoters = new ArrayList<>(voters);
        nextVoters.remove(replica);
        List<ReplicaId> nextLearners = new ArrayList<>(learners);
        nextLearners.remove(replica);
        return new Membership(nextVoters, nextLearners);
    }

    private static List<ReplicaId> sorted(List<ReplicaId> replicas) {
        SortedSet<ReplicaId> unique = new TreeSet<>(replicas);
        return List.copyOf(unique);
    }
}
