package io.stackhall.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The entries behind the latest snapshot, in memory, with the membership at each place. */
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

    /** Returns where the membership in force was appended. */
    long membershipIndex() {
        return memberships.lastKey();
    }

    /** Returns the term at an index, or -1 where the log does not reach. */
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

    /** Replaces what is covered by a snapshot taken here; the entries behind it stay. */
    Snapshot compact(long index, byte[] state) {
        long term = termAt(index);
        Membership membership = memberships.floorEntry(index).getValue();
        entries.subList(0, offset(index) + 1).clear();
        snapshot = new Snapshot(index, term, membership, state);
        memberships.headMap(index, true).clear();
        memberships.put(index, membership);
        return snapshot;
    }

    /** Replaces the whole log by a snapshot taken elsewhere. */
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
