package io.stackhall.core.replication;

import java.util.List;
import java.util.Objects;

/**
 * State that a replica loads from storage when its process starts.
 *
 * @param hardState the last saved hard state
 * @param snapshot the last saved snapshot
 * @param entries the entries after the snapshot, without gaps
 */
public record SavedState(HardState hardState, Snapshot snapshot, List<Entry> entries) {

    /** Copies the entries. */
    public SavedState {
        Objects.requireNonNull(hardState, "hardState");
        Objects.requireNonNull(snapshot, "snapshot");
        entries = List.copyOf(entries);
    }

    /** Returns the state of a replica that has never run. */
    public static SavedState empty() {
        return new SavedState(HardState.initial(), Snapshot.empty(), List.of());
    }
}
