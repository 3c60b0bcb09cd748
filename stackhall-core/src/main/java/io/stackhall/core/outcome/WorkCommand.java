package io.stackhall.core.outcome;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.WorkId;
import java.util.List;

/** A change of a {@link WorkLedger}. */
public sealed interface WorkCommand {

    /** Keeps a piece of work; one with a known id is not kept twice. */
    record Accept(
            WorkId id,
            CustomerId caller,
            Priority priority,
            WorkItem.Request request,
            boolean repeatable)
            implements WorkCommand {}

    /** Gives an attempt the next waiting work, most urgent and then oldest first. */
    record Take(AttemptToken token) implements WorkCommand {}

    /** The attempt has an answer. */
    record Finish(WorkId id, AttemptToken token, StoredAnswer answer) implements WorkCommand {}

    /** The attempt has ended, and the work is proved not run: it waits again. */
    record PutBack(WorkId id, AttemptToken token) implements WorkCommand {}

    /** The attempt has ended or is gone without a proof: run again if repeatable. */
    record Lose(WorkId id, AttemptToken token) implements WorkCommand {}

    /** Its caller withdraws it; work that runs goes on. */
    record Cancel(WorkId id, CustomerId caller) implements WorkCommand {}

    /** The leader has kept these ended pieces for as long as answers are kept. */
    record Forget(List<WorkId> ids) implements WorkCommand {
        /** Copies the list. */
        public Forget {
            ids = List.copyOf(ids);
        }
    }
}
