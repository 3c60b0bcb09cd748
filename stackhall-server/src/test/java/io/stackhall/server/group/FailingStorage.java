package io.stackhall.server.group;

import io.stackhall.core.replication.Entry;
import io.stackhall.core.replication.HardState;
import io.stackhall.core.replication.SavedState;
import io.stackhall.core.replication.Snapshot;
import io.stackhall.server.storage.ReplicaStorage;
import java.io.IOException;
import java.util.List;
import java.util.function.Predicate;

/** A storage whose writes fail while its disk is said to be full. */
final class FailingStorage implements ReplicaStorage {

    private final ReplicaStorage delegate;
    private final Predicate<Call> fails;

    /** A call that writes. */
    enum Call {
        HARD_STATE,
        ENTRIES,
        SNAPSHOT,
        SYNC
    }

    FailingStorage(ReplicaStorage delegate, Predicate<Call> fails) {
        this.delegate = delegate;
        this.fails = fails;
    }

    @Override
    public long incarnation() {
        return delegate.incarnation();
    }

    @Override
    public boolean durable() {
        return true;
    }

    @Override
    public SavedState saved() {
        return delegate.saved();
    }

    @Override
    public void saveHardState(HardState state) throws IOException {
        check(Call.HARD_STATE);
        delegate.saveHardState(state);
    }

    @Override
    public void saveEntries(List<Entry> entries) throws IOException {
        check(Call.ENTRIES);
        delegate.saveEntries(entries);
    }

    @Override
    public void saveSnapshot(Snapshot snapshot, boolean dropLog) throws IOException {
        check(Call.SNAPSHOT);
        delegate.saveSnapshot(snapshot, dropLog);
    }

    @Override
    public void sync() throws IOException {
        check(Call.SYNC);
        delegate.sync();
    }

    @Override
    public boolean hasRoom() {
        return true;
    }

    @Override
    public void close() throws IOException {
        delegate.close();
    }

    private void check(Call call) throws IOException {
        if (fails.test(call)) {
            throw new IOException("No space left on device: " + call);
        }
    }
}
