package io.stackhall.core.membership;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The latest announcement of each upstream of a zone.
 *
 * <p>Announcements may arrive out of order and over several paths; only a newer one replaces the
 * current one. Once an upstream is leaving, it stays so for the rest of the incarnation. An
 * upstream that has been silent for too long is removed.
 */
public final class UpstreamTable {

    /** Maximum number of upstreams; announcements of further upstreams are ignored. */
    public static final int MAX_UPSTREAMS = 4096;

    private final Map<String, ReceivedAnnouncement> latest = new TreeMap<>();
    private final long silenceNanos;

    /**
     * Creates an empty table.
     *
     * @param silence time without an announcement after which an upstream is removed
     */
    public UpstreamTable(Duration silence) {
        this.silenceNanos = silence.toNanos();
    }

    private record ReceivedAnnouncement(Announcement announcement, long receivedAt) {}

    /**
     * Adds an announcement if it is newer than the current one of the same upstream.
     *
     * @param announcement the announcement
     * @param now the monotonic clock, in nanoseconds
     * @return the announcement as stored, or empty if it is not newer or the table is full
     */
    public Optional<Announcement> offer(Announcement announcement, long now) {
        ReceivedAnnouncement known = latest.get(announcement.id().value());
        if (known == null && latest.size() >= MAX_UPSTREAMS) {
            return Optional.empty();
        }
        if (known != null && !announcement.newerThan(known.announcement())) {
            return Optional.empty();
        }
        Announcement kept = announcement;
        if (known != null
                && known.announcement().leaving()
                && known.announcement().incarnation() == announcement.incarnation()) {
            kept = announcement.asLeaving();
        }
        latest.put(announcement.id().value(), new ReceivedAnnouncement(kept, now));
        return Optional.of(kept);
    }

    /**
     * Removes the upstreams that have been silent for too long.
     *
     * @param now the monotonic clock, in nanoseconds
     * @return the removed upstreams
     */
    public List<UpstreamId> expire(long now) {
        List<UpstreamId> dropped = new ArrayList<>();
        Iterator<ReceivedAnnouncement> each = latest.values().iterator();
        while (each.hasNext()) {
            ReceivedAnnouncement item = each.next();
            if (now - item.receivedAt() > silenceNanos) {
                dropped.add(item.announcement().id());
                each.remove();
            }
        }
        return dropped;
    }

    /** Returns the latest announcement of an upstream. */
    public Optional<Announcement> find(UpstreamId id) {
        return Optional.ofNullable(latest.get(id.value())).map(ReceivedAnnouncement::announcement);
    }

    /** Returns the latest announcements, sorted by upstream name. */
    public Collection<Announcement> all() {
        return latest.values().stream().map(ReceivedAnnouncement::announcement).toList();
    }
}
