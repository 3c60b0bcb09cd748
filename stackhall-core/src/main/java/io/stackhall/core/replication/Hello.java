package io.stackhall.core.replication;

/**
 * Self-description that a replica sends to every host of its group while it has no leader or is not
 * a voter, so that the group can be formed or the replica added to it.
 *
 * @param replica the sender
 * @param durable whether the sender's state survives a restart of its process
 * @param formation the formation that the sender belongs to, or 0 for none
 * @param lastTerm term of the sender's last entry
 * @param lastIndex index of the sender's last entry, or 0 if its log is empty
 * @param ask request number to be returned in an answer, or 0 if no answer is requested
 * @param answers number of the receiver's request that this hello answers, or 0
 * @param founder whether the sender is one of the hosts that may form the group, and its storage is
 *     the one that it had from the beginning
 * @param preferredFounder the host that the sender would have form the group, empty for none
 */
public record Hello(
        ReplicaId replica,
        boolean durable,
        long formation,
        long lastTerm,
        long lastIndex,
        long ask,
        long answers,
        boolean founder,
        String preferredFounder) {

    /** Returns whether the replica holds no entry of the group. */
    public boolean emptyLog() {
        return lastIndex == 0;
    }

    /** Returns whether the replica may form the group and has acknowledged no entry of any. */
    boolean canForm() {
        return founder && emptyLog();
    }
}
