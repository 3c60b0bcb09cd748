package io.stackhall.core.outcome;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.WorkId;
import java.util.List;

/** A command to a {@link WorkLedger}. */
public sealed interface WorkCommand {

    /** Adds a work item; a known id is not added twice. */
    record Accept(
            WorkId id,
            CustomerId caller,
            Priority priority,
            WorkItem.Request request,
            boolean repeatable)
            implements WorkCommand {}

    /** Assigns the next waiting item to an attempt: the highest priority, then the oldest. */
    record Take(AttemptToken token) implements WorkCommand {}

    /** The attempt has produced an answer. */
    record Finish(WorkId id, AttemptToken token, StoredAnswer answer) implements WorkCommand {}

    /** The attempt has ended, and it is proved that the work did not run: it waits again. */
    record PutBack(WorkId id, AttemptToken token) implements WorkCommand {}

    /** The attempt has ended or its host has gone without such a proof: run again if repeatable. */
    record Lose(WorkId id, AttemptToken token) implements WorkCommand {}

    /** Its caller cancels it; work that is running continues. */
    record Cancel(WorkId id, CustomerId caller) implements WorkCommand {}

    /** Removes ended items that the leader has held for the retention time of answers. */
    record Forget(List<WorkId> ids) implements WorkCommand {
        /** Copies the list. */
        public Forget {
            ids = List.copyOf(ids);
        }
    }
}
