package io.stackhall.core.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks a leader's lease. The lease starts at the time the leader sent the latest broadcast that a
 * quorum has answered, so it never outlasts the promises of the followers.
 */
final class LeaderLease {

    private final long leaseNanos;
    private final TreeMap<Long, Long> sentAt = new TreeMap<>();
    private long round;
    private long expiresAt;
    private boolean granted;

    LeaderLease(long leaseNanos) {
        this.leaseNanos = leaseNanos;
    }

    /** Discards the lease and the rounds of an earlier leadership. */
    void reset() {
        sentAt.clear();
        granted = false;
    }

    /**
     * Starts a broadcast round.
     *
     * @param now the monotonic clock, in nanoseconds
     * @return the number of the round, which followers return in their replies
     */
    long beginRound(long now) {
        round++;
        sentAt.put(round, now);
        return round;
    }

    /** Extends the lease to the latest round that a quorum of voters has acknowledged. */
    void renew(Membership membership, ReplicaId self, Map<ReplicaId, FollowerProgress> progress) {
        List<Long> answered = new ArrayList<>();
        for (ReplicaId voter : membership.voters()) {
            FollowerProgress follower = progress.get(voter);
            answered.add(voter.equals(self) ? Long.valueOf(round) : acknowledged(follower));
        }
        if (answered.size() < membership.quorum()) {
            return;
        }
        answered.sort(Collections.reverseOrder());
        Map.Entry<Long, Long> latest = sentAt.floorEntry(answered.get(membership.quorum() - 1));
        if (latest == null) {
            return;
        }
        granted = true;
        expiresAt = latest.getValue() + leaseNanos;
        sentAt.headMap(latest.getKey(), false).clear();
    }

    boolean granted() {
        return granted;
    }

    long expiresAt() {
        return expiresAt;
    }

    boolean valid(long now) {
        return granted && now - expiresAt < 0;
    }

    /** Returns whether the lease was granted and has been expired for at least the given time. */
    boolean expiredFor(long nanos, long now) {
        return granted && now - expiresAt >= nanos;
    }

    private static long acknowledged(FollowerProgress progress) {
        return progress == null ? 0 : progress.acknowledgedRound();
    }
}
