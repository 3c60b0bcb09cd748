package io.stackhall.core.replication;

/** A leader's view of the log of one other replica. */
final class FollowerProgress {

    private long matchIndex;
    private long nextIndex;
    private long acknowledgedRound;
    private long lastReply;
    private boolean replied;
    private long snapshotSentAt;

    FollowerProgress(long nextIndex) {
        this.nextIndex = nextIndex;
    }

    long matchIndex() {
        return matchIndex;
    }

    long nextIndex() {
        return nextIndex;
    }

    long acknowledgedRound() {
        return acknowledgedRound;
    }

    /** Returns whether the replica has replied within the given time before now. */
    boolean activeWithin(long nanos, long now) {
        return replied && now - lastReply < nanos;
    }

    void recordReply(long round, long now) {
        acknowledgedRound = Math.max(acknowledgedRound, round);
        lastReply = now;
        replied = true;
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        snapshotSentAt = 0;
    }

    void recordRejection(long lastIndexOfReplica) {
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex - 1, lastIndexOfReplica + 1));
    }

    /** Records that entries up to an index have been sent and not yet acknowledged. */
    void recordSent(long upTo) {
        nextIndex = Math.max(nextIndex, upTo + 1);
    }

    /** Resends from the first entry that the replica has not acknowledged. */
    void rewindToMatch() {
        nextIndex = matchIndex + 1;
    }

    /**
     * Returns whether a snapshot should be sent now: none has been sent since the last match, or
     * the last one was sent at least the retry interval ago.
     */
    boolean snapshotDue(long retryNanos, long now) {
        return snapshotSentAt == 0 || now - snapshotSentAt >= retryNanos;
    }

    void recordSnapshotSent(long now) {
        snapshotSentAt = now;
    }
}
