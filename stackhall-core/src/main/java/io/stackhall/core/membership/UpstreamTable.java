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
 * <p>Announcements may come in any order and by several ways; only a later one replaces another.
 * Leaving is never taken back within one incarnation. An upstream that has been silent for too long
 * is dropped.
 */
public final class UpstreamTable {

    /** The most upstreams that are kept; what comes beyond is refused. */
    public static final int MAX_UPSTREAMS = 4096;

    private final Map<String, ReceivedAnnouncement> latest = new TreeMap<>();
    private final long silenceNanos;

    /** Creates an empty table that drops an upstream after so long a silence. */
    public UpstreamTable(Duration silence) {
        this.silenceNanos = silence.toNanos();
    }

    private record ReceivedAnnouncement(Announcement announcement, long receivedAt) {}

    /**
     * Takes an announcement.
     *
     * @return the announcement as it is kept now, or nothing if a later one is known already
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

    /** Drops the upstreams that have been silent for too long and returns them. */
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

    /** Returns the latest announcements, in order of the upstreams' names. */
    public Collection<Announcement> all() {
        return latest.values().stream().map(ReceivedAnnouncement::announcement).toList();
    }
}
