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

    /** Answers whoever waits for it that the replica has not taken it in; tasks are done. */
    default void refuse() {
        CommandOutcome.Refused refused = new CommandOutcome.Refused("the replica has stopped");
        switch (this) {
            case Ask ask -> ask.outcome().complete(refused);
            case Remove remove -> remove.outcome().complete(refused);
            case Task(Runnable task) -> task.run();
            case Event ignored -> {
                // Nobody waits for it.
            }
        }
    }
}
