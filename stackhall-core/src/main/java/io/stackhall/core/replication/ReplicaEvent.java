package io.stackhall.core.replication;

import java.util.List;

/** What can happen to a replica. */
public sealed interface ReplicaEvent {

    /** Time has passed; to be given several times within a heartbeat interval. */
    record Tick() implements ReplicaEvent {}

    /** A message has come from another replica. */
    record Received(Message message) implements ReplicaEvent {}

    /** Another host of the group has described its replica. */
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

    /** A question whether the state machine may be read now as the leader's current state. */
    record Read(long ticket) implements ReplicaEvent {}

    /** The state machine's state after an applied entry, to cut the log. */
    record Compact(long index, byte[] state) implements ReplicaEvent {}

    /**
     * Hand leadership over to the next voter that is caught up.
     *
     * @param stopping whether the process is about to stop, and takes no more proposals even if
     *     nobody can follow it
     */
    record Transfer(boolean stopping) implements ReplicaEvent {}

    /**
     * An operator removes the replica of a host.
     *
     * @param ticket names the request in the answer
     * @param host whose replica to remove
     */
    record RemoveReplica(long ticket, String host) implements ReplicaEvent {}

    /**
     * One command to append.
     *
     * @param ticket names the command in the effects that answer it
     * @param command the encoded command
     */
    record Proposal(long ticket, byte[] command) {}
}
