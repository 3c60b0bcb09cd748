package io.stackhall.server.storage;

import io.stackhall.core.replication.Entry;
import io.stackhall.core.replication.HardState;
import io.stackhall.core.replication.SavedState;
import io.stackhall.core.replication.Snapshot;
import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * Keeps what one replica saves. What was saved lasts once {@link #sync()} has returned.
 *
 * @see DiskStorage
 * @see MemoryStorage
 */
public interface ReplicaStorage extends Closeable {

    /** Returns the number drawn when this state was created, never 0. */
    long incarnation();

    /** Returns whether what is saved outlives the process. */
    boolean durable();

    /** Returns what was saved before this process started. */
    SavedState saved();

    /** Saves the hard state. */
    void saveHardState(HardState state) throws IOException;

    /** Drops the entries from the first one's index on, and saves these. */
    void saveEntries(List<Entry> entries) throws IOException;

    /** Saves a snapshot; it lasts on return. */
    void saveSnapshot(Snapshot snapshot, boolean dropLog) throws IOException;

    /** Makes everything saved so far last. */
    void sync() throws IOException;

    /** Returns whether there is room for further changes. */
    boolean hasRoom();
}
