package io.stackhall.core.replication;

import java.time.Duration;
import java.util.Objects;

/**
 * The times and bounds of a replica.
 *
 * @param electionTimeout the least time without a leader before a follower stands; a lease never
 *     outlasts it
 * @param heartbeat the interval between a leader's broadcasts
 * @param driftMargin how far two hosts' monotonic clocks may drift apart during one lease
 * @param maxEntriesPerMessage the most entries in one message
 * @param voters how many replicas vote in a group whose hosts come and go, or 0 where every host
 *     that the settings name has a vote
 */
public record ReplicaSettings(
        Duration electionTimeout,
        Duration heartbeat,
        Duration driftMargin,
        int maxEntriesPerMessage,
        int voters) {

    /** Checks that heartbeats fit into a lease. */
    public ReplicaSettings {
        Objects.requireNonNull(electionTimeout, "electionTimeout");
        Objects.requireNonNull(heartbeat, "heartbeat");
        Objects.requireNonNull(driftMargin, "driftMargin");
        if (heartbeat.plus(driftMargin).compareTo(electionTimeout) >= 0) {
            throw new IllegalArgumentException(
                    "heartbeat " + heartbeat + " does not fit into " + electionTimeout);
        }
        if (maxEntriesPerMessage < 1) {
            throw new IllegalArgumentException(
                    "maxEntriesPerMessage " + maxEntriesPerMessage + " is not positive");
        }
        if (voters < 0) {
            throw new IllegalArgumentException("voters " + voters + " is negative");
        }
    }

    /** Returns settings for hosts within a few milliseconds of each other. */
    public static ReplicaSettings standard() {
        return new ReplicaSettings(
                Duration.ofMillis(1000), Duration.ofMillis(150), Duration.ofMillis(100), 512, 0);
    }

    /** Returns whether hosts that nobody has named may join the group. */
    boolean dynamicMembership() {
        return voters > 0;
    }

    long leaseNanos() {
        return electionTimeout.minus(driftMargin).toNanos();
    }
}
