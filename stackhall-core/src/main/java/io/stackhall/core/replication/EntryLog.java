package io.stackhall.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * In-memory log of the entries that follow the latest snapshot, with the membership in force at
 * each index.
 */
final class EntryLog {

    private final List<Entry> entries = new ArrayList<>();
    private final TreeMap<Long, Membership> memberships = new TreeMap<>();
    private Snapshot snapshot;

    EntryLog(Snapshot snapshot, List<Entry> entries) {
        this.snapshot = snapshot;
        memberships.put(snapshot.lastIndex(), snapshot.membership());
        append(entries);
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long lastIndex() {
        return snapshot.lastIndex() + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? snapshot.lastTerm() : entries.getLast().term();
    }

    Membership membership() {
        return memberships.lastEntry().getValue();
    }

    /** Returns the index of the entry that set the membership in force. */
    long membershipIndex() {
        return memberships.lastKey();
    }

    /**
     * Returns the term of the entry at an index, or -1 if the entry is covered by the snapshot or
     * beyond the end of the log.
     */
    long termAt(long index) {
        if (index == snapshot.lastIndex()) {
            return snapshot.lastTerm();
        }
        if (index < snapshot.lastIndex() || index > lastIndex()) {
            return -1;
        }
        return entries.get(offset(index)).term();
    }

    List<Entry> slice(long from, long toInclusive) {
        long last = Math.min(toInclusive, lastIndex());
        if (from > last) {
            return List.of();
        }
        return List.copyOf(entries.subList(offset(from), offset(last) + 1));
    }

    void append(List<Entry> added) {
        for (Entry entry : added) {
            if (entry.index() != lastIndex() + 1) {
                throw new IllegalArgumentException(
                        "entry " + entry.index() + " does not follow " + lastIndex());
            }
            entries.add(entry);
            if (entry.payload() instanceof Payload.MembershipChange change) {
                memberships.put(entry.index(), change.membership());
            }
        }
    }

    void truncateFrom(long index) {
        entries.subList(offset(index), entries.size()).clear();
        memberships.tailMap(index, true).clear();
    }

    /** Replaces all entries up to an index by a snapshot taken locally and keeps later entries. */
    Snapshot compact(long index, byte[] state) {
        long term = termAt(index);
        Membership membership = memberships.floorEntry(index).getValue();
        entries.subList(0, offset(index) + 1).clear();
        snapshot = new Snapshot(index, term, membership, state);
        memberships.headMap(index, true).clear();
        memberships.put(index, membership);
        return snapshot;
    }

    /** Replaces the whole log by a snapshot received from the leader. */
    void replaceWith(Snapshot replacement) {
        entries.clear();
        memberships.clear();
        snapshot = replacement;
        memberships.put(replacement.lastIndex(), replacement.membership());
    }

    private int offset(long index) {
        return Math.toIntExact(index - snapshot.lastIndex() - 1);
    }
}
