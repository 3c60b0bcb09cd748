package io.stackhall.core.replication;

import java.time.Duration;
import java.util.Objects;

/**
 * Timeouts and limits of a replica.
 *
 * @param electionTimeout minimum time without contact from a leader before a follower starts an
 *     election; a lease is never longer
 * @param heartbeat the interval between a leader's broadcasts
 * @param driftMargin how far the monotonic clocks of two hosts may drift apart during one lease
 * @param maxEntriesPerMessage maximum number of entries in one message
 * @param voters number of voters with dynamic membership, or 0 if every configured host has a vote
 */
public record ReplicaSettings(
        Duration electionTimeout,
        Duration heartbeat,
        Duration driftMargin,
        int maxEntriesPerMessage,
        int voters) {

    /** Validates the settings; heartbeat and drift margin must fit into the election timeout. */
    public ReplicaSettings {
        Objects.requireNonNull(electionTimeout, "electionTimeout");
        Objects.requireNonNull(heartbeat, "heartbeat");
        Objects.requireNonNull(driftMargin, "driftMargin");
        if (heartbeat.plus(driftMargin).compareTo(electionTimeout) >= 0) {
            throw new IllegalArgumentException(
                    "heartbeat "
                            + heartbeat
                            + " plus drift margin "
                            + driftMargin
                            + " must be shorter than the election timeout "
                            + electionTimeout);
        }
        if (maxEntriesPerMessage < 1) {
            throw new IllegalArgumentException(
                    "maxEntriesPerMessage " + maxEntriesPerMessage + " is not positive");
        }
        if (voters < 0) {
            throw new IllegalArgumentException("voters " + voters + " is negative");
        }
    }

    /** Returns settings for hosts with a network latency of a few milliseconds. */
    public static ReplicaSettings standard() {
        return new ReplicaSettings(
                Duration.ofMillis(1000), Duration.ofMillis(150), Duration.ofMillis(100), 512, 0);
    }

    /** Returns whether hosts that are not in the settings may join the group. */
    boolean dynamicMembership() {
        return voters > 0;
    }

    long leaseNanos() {
        return electionTimeout.minus(driftMargin).toNanos();
    }
}
