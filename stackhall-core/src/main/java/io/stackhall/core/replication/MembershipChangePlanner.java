package io.stackhall.core.replication;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Plans the leader's membership changes, which add, promote or remove one replica at a time.
 *
 * <p>A replica that is not a member yet is added as a learner. Once it has caught up, the previous
 * voter on its host is removed and the learner is promoted. No change starts before the previous
 * one is committed.
 *
 * <p>With dynamic membership, a learner is promoted only while the group has fewer voters than
 * configured, or to replace a voter that has been silent for too long; other learners remain
 * learners.
 */
final class MembershipChangePlanner {

    /**
     * Time without a reply after which a voter is replaced, in election timeouts. It is longer than
     * a process restart (1 to 3 s), and short enough that the group is complete again when a second
     * voter fails 4 s after the first.
     */
    private static final int SILENT_VOTER_TIMEOUTS = 3;

    /** Time without a reply after which a learner is removed, in election timeouts. */
    private static final int SILENT_LEARNER_TIMEOUTS = 30;

    private final ReplicaState state;
    private final Map<String, ReceivedHello> latestHellos = new TreeMap<>();
    private long leaderSince;

    MembershipChangePlanner(ReplicaState state) {
        this.state = state;
    }

    /** Result of a removal that an operator requested. */
    sealed interface Decision {}

    /** The removal is allowed and leads to this membership. */
    record Next(Membership membership) implements Decision {}

    /** The removal is refused for this reason. */
    record Refused(String reason) implements Decision {}

    private record ReceivedHello(Hello hello, long receivedAt) {}

    /** Restarts the silence timeouts, since a new leader has not received any reply yet. */
    void leadershipStarted(long now) {
        leaderSince = now;
    }

    void receiveHello(Hello hello, long now) {
        latestHellos.put(hello.replica().host(), new ReceivedHello(hello, now));
    }

    Optional<Membership> nextChange(Map<ReplicaId, FollowerProgress> progress, long now) {
        if (changePending()) {
            return Optional.empty();
        }
        Membership current = state.membership();
        for (ReplicaId learner : current.learners()) {
            if (caughtUp(learner, progress, now)) {
                Optional<Membership> next = nextPromotionStep(current, learner, progress, now);
                if (next.isPresent()) {
                    return next;
                }
            }
        }
        Optional<ReplicaId> lost =
                current.learners().stream()
                        .filter(
                                learner ->
                                        silentFor(SILENT_LEARNER_TIMEOUTS, learner, progress, now))
                        .findFirst();
        if (state.settings().dynamicMembership() && lost.isPresent()) {
            return Optional.of(current.without(lost.get()));
        }
        return latestHellos.values().stream()
                .filter(item -> now - item.receivedAt() < electionTimeoutNanos())
                .map(item -> item.hello().replica())
                .filter(replica -> !current.contains(replica))
                .findFirst()
                .map(current::withLearner);
    }

    Decision planRemoval(String host, Map<ReplicaId, FollowerProgress> progress, long now) {
        if (changePending()) {
            return new Refused("another change of membership is not committed yet");
        }
        Optional<ReplicaId> voter = state.membership().voterOnHost(host);
        if (voter.isEmpty()) {
            return new Refused("host " + host + " runs no voter of the group");
        }
        Membership next = state.membership().without(voter.get());
        long active = activeVoters(next, progress, now);
        if (next.voters().isEmpty() || active < next.quorum()) {
            return new Refused(
                    "without "
                            + host
                            + " only "
                            + active
                            + " of "
                            + next.voters().size()
                            + " voters answer, and "
                            + next.quorum()
                            + " are needed");
        }
        return new Next(next);
    }

    private Optional<Membership> nextPromotionStep(
            Membership current,
            ReplicaId learner,
            Map<ReplicaId, FollowerProgress> progress,
            long now) {
        Optional<ReplicaId> former = current.voterOnHost(learner.host());
        if (former.isPresent()) {
            return Optional.of(current.without(former.get()));
        }
        if (!state.settings().dynamicMembership()
                || current.voters().size() < state.settings().voters()) {
            return Optional.of(current.withPromoted(learner));
        }
        return current.voters().stream()
                .filter(voter -> silentFor(SILENT_VOTER_TIMEOUTS, voter, progress, now))
                .map(current::without)
                .filter(next -> activeVoters(next, progress, now) >= next.quorum())
                .findFirst();
    }

    private boolean silentFor(
            int timeouts, ReplicaId replica, Map<ReplicaId, FollowerProgress> progress, long now) {
        long silence = timeouts * electionTimeoutNanos();
        FollowerProgress follower = progress.get(replica);
        boolean repliedWithin = follower != null && follower.activeWithin(silence, now);
        return !replica.equals(state.self()) && !repliedWithin && now - leaderSince >= silence;
    }

    private long activeVoters(
            Membership members, Map<ReplicaId, FollowerProgress> progress, long now) {
        return members.voters().stream().filter(voter -> active(voter, progress, now)).count();
    }

    private boolean changePending() {
        return state.log().membershipIndex() > state.commit();
    }

    private boolean caughtUp(
            ReplicaId learner, Map<ReplicaId, FollowerProgress> progress, long now) {
        FollowerProgress follower = progress.get(learner);
        return follower != null
                && active(learner, progress, now)
                && follower.matchIndex() >= state.commit();
    }

    private boolean active(ReplicaId replica, Map<ReplicaId, FollowerProgress> progress, long now) {
        if (replica.equals(state.self())) {
            return true;
        }
        FollowerProgress follower = progress.get(replica);
        return follower != null && follower.activeWithin(electionTimeoutNanos(), now);
    }

    private long electionTimeoutNanos() {
        return state.settings().electionTimeout().toNanos();
    }
}
