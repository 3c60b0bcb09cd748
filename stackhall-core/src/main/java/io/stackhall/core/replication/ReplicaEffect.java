package io.stackhall.core.replication;

import java.util.List;

/**
 * What a replica asks its driver to do. Effects are carried out in order; what a save effect names
 * must be durable before any later effect that is not a save.
 */
public sealed interface ReplicaEffect {

    /** Save the hard state. */
    record SaveHardState(HardState state) implements ReplicaEffect {}

    /** Drop every saved entry from the first one's index on, then save these. */
    record SaveEntries(List<Entry> entries) implements ReplicaEffect {}

    /**
     * Save a snapshot and drop the entries that it covers.
     *
     * @param snapshot what to save
     * @param dropLog whether the entries behind it are dropped as well
     */
    record SaveSnapshot(Snapshot snapshot, boolean dropLog) implements ReplicaEffect {}

    /** Send a message; it may be lost. */
    record Send(Message message) implements ReplicaEffect {}

    /** Tell every other host of the group who this replica is. */
    record BroadcastHello(Hello hello) implements ReplicaEffect {}

    /** Tell one host of the group who this replica is. */
    record SendHello(String host, Hello hello) implements ReplicaEffect {}

    /** Apply committed entries to the state machine, in order. */
    record Apply(List<Entry> entries) implements ReplicaEffect {}

    /** Replace the state machine's state. */
    record Restore(Snapshot snapshot) implements ReplicaEffect {}

    /** The command has this place in the log; its result comes when that entry is applied. */
    record Accepted(long ticket, long term, long index) implements ReplicaEffect {}

    /** The command or read was not taken, and nothing of it remains. */
    record Refused(long ticket, String reason) implements ReplicaEffect {}

    /** The state machine may be read now. */
    record ReadReady(long ticket) implements ReplicaEffect {}

    /**
     * The state machine now holds all that was committed when this replica began. What it applied
     * until then was history: each state in between may have been replaced long before. Told once.
     */
    record CaughtUp() implements ReplicaEffect {}

    /** The role has changed; accepted commands that are not yet applied may or may not be. */
    record RoleChanged(Role role, long term) implements ReplicaEffect {}
}
