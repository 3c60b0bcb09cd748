package io.stackhall.core.replication;

import java.util.List;
import java.util.Objects;

/**
 * A message between two replicas of a group. Messages may be lost, duplicated and reordered.
 *
 * @param from the sender
 * @param to the receiver; a replica drops messages that address an earlier incarnation of it
 * @param formation the sender's formation
 * @param term the sender's term, or the prospective term in a pre-vote
 * @param body content of the message
 */
public record Message(ReplicaId from, ReplicaId to, long formation, long term, Body body) {

    /** Validates the components. */
    public Message {
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
        Objects.requireNonNull(body, "body");
    }

    /** Content of a message. */
    public sealed interface Body {}

    /**
     * Requests a vote.
     *
     * @param lastIndex index of the candidate's last entry
     * @param lastTerm term of that entry
     * @param preVote whether the candidate only asks if the vote would be granted
     * @param transfer whether the leader transfers its leadership to the candidate
     */
    public record VoteRequest(long lastIndex, long lastTerm, boolean preVote, boolean transfer)
            implements Body {}

    /** Answers a {@link VoteRequest}. */
    public record VoteReply(boolean granted, boolean preVote) implements Body {}

    /**
     * Appends entries after a given one. Without entries it is a heartbeat that renews the leader's
     * lease.
     *
     * @param previousIndex index of the entry before the first one sent
     * @param previousTerm term of that entry
     * @param entries the entries to append, in order
     * @param commit the leader's commit index
     * @param round number of the leader's broadcast round, returned in the reply
     */
    public record AppendRequest(
            long previousIndex, long previousTerm, List<Entry> entries, long commit, long round)
            implements Body {}

    /**
     * Answers an {@link AppendRequest} or a {@link SnapshotRequest}.
     *
     * @param success whether the follower's log contains the entries
     * @param matchIndex on success the index of the last entry known to match; otherwise the index
     *     after which the leader should retry
     * @param round the broadcast round that this answers
     */
    public record AppendReply(boolean success, long matchIndex, long round) implements Body {}

    /** Replaces a follower's log by a snapshot. */
    public record SnapshotRequest(Snapshot snapshot, long round) implements Body {}

    /**
     * Forms the group, or forms it again after too many replicas have lost their state.
     *
     * @param membership the replicas of the new formation
     * @param lastTerm term of the sender's last entry
     * @param lastIndex index of the sender's last entry
     */
    public record Form(Membership membership, long lastTerm, long lastIndex) implements Body {}

    /** Asks a caught-up follower to start an election immediately. */
    public record TimeoutNow() implements Body {}
}
