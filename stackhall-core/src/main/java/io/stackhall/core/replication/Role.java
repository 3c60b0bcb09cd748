package io.stackhall.core.replication;

/** Role of a replica in its group. */
public enum Role {
    /** Replicates the log of a leader, or waits for one to be elected. */
    FOLLOWER,
    /** Requests pre-votes to find out whether it would win an election. */
    PRE_CANDIDATE,
    /** Requests votes in an election. */
    CANDIDATE,
    /** Appends entries to the log and replicates them to the group. */
    LEADER
}
