package io.stackhall.core.replication;

/** What a leader knows of one other replica's log. */
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

    /** Returns whether the replica has answered within a period before now. */
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

    /** Notes that entries up to an index are on their way. */
    void recordSent(long upTo) {
        nextIndex = Math.max(nextIndex, upTo + 1);
    }

    /** Forgets what is on its way and starts again behind what is known to match. */
    void rewindToMatch() {
        nextIndex = matchIndex + 1;
    }

    /** Returns whether a snapshot should be sent now rather than awaited. */
    boolean snapshotDue(long retryNanos, long now) {
        return snapshotSentAt == 0 || now - snapshotSentAt >= retryNanos;
    }

    void recordSnapshotSent(long now) {
        snapshotSentAt = now;
    }
}
