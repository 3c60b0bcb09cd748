package io.stackhall.core.replication;

/**
 * When a replica replaces the entries that it has applied by a snapshot of its state.
 *
 * <p>What is behind the snapshot is kept in memory and on the disk, and read and applied again at
 * each start. Where every command replaces most of the state, as a configuration does, a few
 * thousand of them fill a small disk and a small heap. So the entries are bounded by their bytes,
 * in proportion to the state, which writes the state at most once for every few times its own size
 * in commands; and by their number, for states that small commands change.
 */
public final class SnapshotPolicy {

    private static final long MAX_ENTRIES = 4000;

    /** Smaller logs are read within some ten milliseconds. */
    private static final long MIN_LOG_BYTES = 1 << 20;

    private static final long LOG_TO_STATE_RATIO = 8;

    private long entries;
    private long bytes;
    private long stateBytes;

    /** Notes that an entry has been applied. */
    public void entryApplied(Entry entry) {
        entries++;
        if (entry.payload() instanceof Payload.Command(byte[] command)) {
            bytes += command.length;
        }
    }

    /** Notes that a snapshot covers all that was applied so far. */
    public void snapshotTaken(Snapshot snapshot) {
        entries = 0;
        bytes = 0;
        stateBytes = snapshot.state().length;
    }

    /** Returns whether the state is to be saved as a snapshot now. */
    public boolean due() {
        return entries >= MAX_ENTRIES
                || bytes >= Math.max(MIN_LOG_BYTES, LOG_TO_STATE_RATIO * stateBytes);
    }
}
