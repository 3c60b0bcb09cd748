package io.stackhall.core.outcome;

/** The result of a {@link ClaimCommand}. */
public sealed interface ClaimResult {

    /** The sender of the command may run the request. */
    record Granted() implements ClaimResult {}

    /** Another attempt holds the claim and has not ended. */
    record InProgress() implements ClaimResult {}

    /** The request has run with this answer. */
    record Replay(StoredAnswer answer) implements ClaimResult {}

    /** It is unknown whether the request has run; it must not be run again. */
    record Uncertain(String reason) implements ClaimResult {}

    /** The key was used for another request. */
    record Conflict() implements ClaimResult {}

    /** The table holds its maximum number of claims. */
    record Full() implements ClaimResult {}

    /** The command has been applied, now or before. */
    record Done() implements ClaimResult {}

    /** The command came from an attempt that no longer holds the claim. */
    record Stale() implements ClaimResult {}
}
