package io.stackhall.core.replication;

import java.util.Objects;

/**
 * The state machine's state after an entry, which replaces the log up to that entry.
 *
 * @param lastIndex index of the last entry covered, or 0 for none
 * @param lastTerm term of that entry
 * @param membership the membership in force at that entry
 * @param state the encoded state; the array is shared and must not be modified
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, byte[] state) {

    /** Validates the components. */
    public Snapshot {
        Objects.requireNonNull(membership, "membership");
        Objects.requireNonNull(state, "state");
    }

    /** Returns the snapshot of an empty log. */
    public static Snapshot empty() {
        return new Snapshot(0, 0, Membership.empty(), new byte[0]);
    }
}
