package io.stackhall.core.replication;

import java.util.List;

/**
 * An action that a replica requests from its driver. Effects are performed in order, and the data
 * of a save effect must be durable before any later effect that is not a save is performed.
 */
public sealed interface ReplicaEffect {

    /** Save the hard state. */
    record SaveHardState(HardState state) implements ReplicaEffect {}

    /** Delete the saved entries from the index of the first given entry on, then save these. */
    record SaveEntries(List<Entry> entries) implements ReplicaEffect {}

    /**
     * Save a snapshot and delete the entries that it covers.
     *
     * @param snapshot the snapshot
     * @param dropLog whether the entries after it are deleted as well
     */
    record SaveSnapshot(Snapshot snapshot, boolean dropLog) implements ReplicaEffect {}

    /** Send a message; it may be lost. */
    record Send(Message message) implements ReplicaEffect {}

    /** Send a hello to every other host of the group. */
    record BroadcastHello(Hello hello) implements ReplicaEffect {}

    /** Send a hello to one host of the group. */
    record SendHello(String host, Hello hello) implements ReplicaEffect {}

    /** Apply committed entries to the state machine, in order. */
    record Apply(List<Entry> entries) implements ReplicaEffect {}

    /** Replace the state machine's state by a snapshot. */
    record Restore(Snapshot snapshot) implements ReplicaEffect {}

    /** The command was appended at this index; its result is known once that entry is applied. */
    record Accepted(long ticket, long term, long index) implements ReplicaEffect {}

    /** The command or read was refused and has no effect. */
    record Refused(long ticket, String reason) implements ReplicaEffect {}

    /** The state machine may be read now and returns the leader's current state. */
    record ReadReady(long ticket) implements ReplicaEffect {}

    /**
     * The state machine now includes every command committed before this replica started. Until
     * then it replays old entries, and each intermediate state may have been replaced long ago.
     * Emitted once.
     */
    record CaughtUp() implements ReplicaEffect {}

    /** The role has changed; commands accepted but not yet applied may or may not be committed. */
    record RoleChanged(Role role, long term) implements ReplicaEffect {}
}
