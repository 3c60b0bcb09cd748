package io.stackhall.core.stream;

import io.stackhall.core.id.HostId;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * When a control host was in contact with each entry host, and so until when one of them may have
 * begun streams at a version that was gone.
 *
 * <p>Load pattern: an entry host is cut off from all control hosts, for minutes, together with
 * upstreams of a version that leaves meanwhile. It goes on with what it knows, and its callers take
 * their streams up at other hosts, which have long seen nothing but another version.
 *
 * <p>Times are on the monotonic clock, in nanoseconds. Not thread-safe.
 */
final class EntryHostContacts {

    /**
     * Entry hosts are heard of each second; one that is back has been told of everything within a
     * part of this time, and frames sent before the last that was heard may be lost.
     */
    private static final Duration MAX_GAP = Duration.ofSeconds(4);

    /** A host that is silent for longer is not expected back. */
    private static final Duration MAX_ABSENCE = Duration.ofDays(1);

    /** Bounds the memory; beyond it, the absences that ended first are taken for one. */
    private static final int MAX_ABSENCES = 1_000;

    private final Map<HostId, Long> heardAt = new HashMap<>();
    private final Deque<Absence> ended = new ArrayDeque<>();

    /** A time in which an entry host may not have been told of changes. */
    private record Absence(long from, long until) {

        /** Returns the time until which a version that went at a time may have been used. */
        long lastUse(long goneAt) {
            boolean missed = goneAt - from >= -MAX_GAP.toNanos();
            return missed ? later(goneAt, until) : goneAt;
        }

        /** Returns a time that holds both. */
        Absence and(Absence other) {
            return new Absence(
                    from - other.from <= 0 ? from : other.from, later(until, other.until));
        }
    }

    /** Records that an entry host is in contact. */
    void heard(HostId host, long now) {
        heardAt.values().removeIf(at -> now - at > MAX_ABSENCE.toNanos());
        Long before = heardAt.put(host, now);
        if (before != null && now - before > MAX_GAP.toNanos()) {
            ended.addLast(new Absence(before, now + MAX_GAP.toNanos()));
            if (ended.size() > MAX_ABSENCES) {
                ended.addFirst(ended.removeFirst().and(ended.removeFirst()));
            }
        }
    }

    /**
     * Returns the latest time at which streams may have begun at a version that is gone; not before
     * the present while a host is out of contact that may use it.
     *
     * @param goneAt when this host saw the last instance of the version leave
     */
    long lastUse(long goneAt, long now) {
        // A host may be out of contact for this long before it is missed.
        long last = heardAt.isEmpty() ? goneAt : goneAt + MAX_GAP.toNanos();
        for (Absence absence : ended) {
            last = later(last, absence.lastUse(goneAt));
        }
        for (long at : heardAt.values()) {
            if (now - at > MAX_GAP.toNanos()) {
                last = later(last, new Absence(at, now).lastUse(goneAt));
            }
        }
        return last;
    }

    private static long later(long one, long other) {
        return one - other >= 0 ? one : other;
    }
}
