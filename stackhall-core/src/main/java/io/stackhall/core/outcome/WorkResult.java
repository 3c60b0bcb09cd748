package io.stackhall.core.outcome;

/** The result of a {@link WorkCommand}. */
public sealed interface WorkResult {

    /** The ledger holds the item, since now or since before. */
    record Kept(WorkItem item) implements WorkResult {}

    /** The attempt now holds this item. */
    record Taken(WorkItem item) implements WorkResult {}

    /** No item is waiting. */
    record NothingWaits() implements WorkResult {}

    /** The ledger holds its maximum number of items. */
    record Full() implements WorkResult {}

    /** The command has been applied. */
    record Done() implements WorkResult {}

    /** The command does not match the state of the item. */
    record Stale() implements WorkResult {}
}
