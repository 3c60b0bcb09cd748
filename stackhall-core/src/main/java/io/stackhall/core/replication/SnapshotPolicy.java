package io.stackhall.core.replication;

/**
 * Decides when a replica replaces applied log entries by a snapshot of its state.
 *
 * <p>The entries after the snapshot are kept in memory and on disk, and are read and applied again
 * at each start. If every command replaces most of the state, as a configuration change does, a few
 * thousand of them fill a small disk and a small heap. The log is therefore limited in bytes, in
 * proportion to the size of the state, so that the state is written at most once per several times
 * its own size in commands. It is also limited in entries, for states that change by small
 * commands.
 */
public final class SnapshotPolicy {

    private static final long MAX_ENTRIES = 4000;

    /** A log of this size is read within some ten milliseconds, so smaller ones are not cut. */
    private static final long MIN_LOG_BYTES = 1 << 20;

    /** A snapshot is due once the commands take this many times the size of the state. */
    private static final long LOG_TO_STATE_RATIO = 8;

    private long entries;
    private long bytes;
    private long stateBytes;

    /** Counts an applied entry. */
    public void entryApplied(Entry entry) {
        entries++;
        if (entry.payload() instanceof Payload.Command(byte[] command)) {
            bytes += command.length;
        }
    }

    /** Resets the counts after a snapshot of everything applied so far. */
    public void snapshotTaken(Snapshot snapshot) {
        entries = 0;
        bytes = 0;
        stateBytes = snapshot.state().length;
    }

    /** Returns whether a snapshot should be saved now. */
    public boolean due() {
        return entries >= MAX_ENTRIES
                || bytes >= Math.max(MIN_LOG_BYTES, LOG_TO_STATE_RATIO * stateBytes);
    }
}
