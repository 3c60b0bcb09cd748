package io.stackhall.core.replication;

import java.util.List;

/** Input of a replica. */
public sealed interface ReplicaEvent {

    /** Time has passed; must be passed in several times per heartbeat interval. */
    record Tick() implements ReplicaEvent {}

    /** A message from another replica was received. */
    record Received(Message message) implements ReplicaEvent {}

    /** A hello from another host of the group was received. */
    record HelloReceived(Hello hello) implements ReplicaEvent {}

    /**
     * Commands to append, in one batch.
     *
     * @param proposals the commands in order
     */
    record Propose(List<Proposal> proposals) implements ReplicaEvent {
        /** Copies the list. */
        public Propose {
            proposals = List.copyOf(proposals);
        }
    }

    /**
     * Requests a linearizable read of the state machine, which only a leader with a lease allows.
     */
    record Read(long ticket) implements ReplicaEvent {}

    /** Truncates the log up to an applied entry, given the state machine's state after it. */
    record Compact(long index, byte[] state) implements ReplicaEvent {}

    /**
     * Transfers leadership to the next voter that has caught up.
     *
     * @param stopping whether the process is about to stop and refuses further proposals even if no
     *     voter can take over
     */
    record Transfer(boolean stopping) implements ReplicaEvent {}

    /**
     * Removes the voter on a host, as requested by an operator.
     *
     * @param ticket identifies the request in the effects that answer it
     * @param host the host of the voter
     */
    record RemoveReplica(long ticket, String host) implements ReplicaEvent {}

    /**
     * One command to append.
     *
     * @param ticket identifies the command in the effects that answer it
     * @param command the encoded command
     */
    record Proposal(long ticket, byte[] command) {}
}
