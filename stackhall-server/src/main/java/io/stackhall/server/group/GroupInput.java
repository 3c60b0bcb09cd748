package io.stackhall.server.group;

import io.stackhall.core.replication.ReplicaEvent;
import java.util.concurrent.CompletableFuture;

/** Something for the group's thread to take in. */
sealed interface GroupInput {
    /** A command or question. */
    record Ask(byte[] bytes, boolean query, CompletableFuture<CommandOutcome> outcome)
            implements GroupInput {}

    /** An event of the replica. */
    record Event(ReplicaEvent event) implements GroupInput {}

    /** The removal of a host's replica. */
    record Remove(String host, CompletableFuture<CommandOutcome> outcome) implements GroupInput {}

    /** Something to do on the group's thread. */
    record Task(Runnable task) implements GroupInput {}
}
