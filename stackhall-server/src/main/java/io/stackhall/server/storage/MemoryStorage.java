package io.stackhall.server.storage;

import io.stackhall.core.replication.Entry;
import io.stackhall.core.replication.HardState;
import io.stackhall.core.replication.SavedState;
import io.stackhall.core.replication.Snapshot;
import java.util.List;

/** The storage of a host without a disk: it keeps nothing, and every start is a new replica. */
public final class MemoryStorage implements ReplicaStorage {

    private final long incarnation;

    /** Creates the storage of a new replica. */
    public MemoryStorage(long incarnation) {
        this.incarnation = incarnation;
    }

    @Override
    public long incarnation() {
        return incarnation;
    }

    @Override
    public boolean durable() {
        return false;
    }

    @Override
    public SavedState saved() {
        return SavedState.empty();
    }

    @Override
    public void saveHardState(HardState state) {
        // The replica itself holds it in memory.
    }

    @Override
    public void saveEntries(List<Entry> entries) {
        // The replica itself holds them in memory.
    }

    @Override
    public void saveSnapshot(Snapshot snapshot, boolean dropLog) {
        // The replica itself holds it in memory.
    }

    @Override
    public void sync() {
        // Nothing lasts.
    }

    @Override
    public boolean hasRoom() {
        return true;
    }

    @Override
    public void close() {
        // Nothing is open.
    }
}
