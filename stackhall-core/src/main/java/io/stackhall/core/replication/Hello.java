package io.stackhall.core.replication;

/**
 * What a replica tells every host of its group about itself while it may not belong to the group.
 *
 * @param replica the sender
 * @param durable whether its state outlives its process
 * @param formation the formation it belongs to, or 0
 * @param lastTerm term of its last entry
 * @param lastIndex index of its last entry, 0 when it holds nothing
 * @param ask a number to be returned in an answer, or 0 where none is wanted
 * @param answers the receiver's ask that this answers, or 0
 */
public record Hello(
        ReplicaId replica,
        boolean durable,
        long formation,
        long lastTerm,
        long lastIndex,
        long ask,
        long answers) {

    /** Returns whether the replica holds no entry of the group. */
    public boolean emptyLog() {
        return lastIndex == 0;
    }
}
