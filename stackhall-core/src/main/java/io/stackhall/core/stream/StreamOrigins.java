package io.stackhall.core.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of recent streams that one host remembers. An origin is recorded with the first event
 * of a stream, never earlier: an attempt without an event binds nobody.
 *
 * <p>Answers the load of a fleet in which streams begin all the time and a killed host leaves all
 * of its own behind at once. What is forgotten is not guessed, so that a lost record costs a
 * refusal, and never events of two versions in one stream.
 *
 * <p>Times are on the monotonic clock, in nanoseconds. Not thread-safe.
 */
public final class StreamOrigins {

    /** Some 6 MB; 600 streams a second that are remembered for 80 s each. */
    private static final int MAX_REMEMBERED = 50_000;

    private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

    /** A recorded origin; empty if different ones were recorded. */
    private record Entry(Optional<StreamOrigin> origin, long expiresAt) {}

    /**
     * One origin as hosts tell it to each other.
     *
     * @param remaining for how much longer it is remembered
     */
    public record Memory(StreamKey key, StreamOrigin origin, Duration remaining) {}

    /**
     * Records an origin, or renews it. The streams that were recorded first are forgotten first if
     * there are too many.
     *
     * @param keep how long it may be asked for
     */
    public void remember(StreamKey key, StreamOrigin origin, Duration keep, long now) {
        Entry known = findEntry(key, now);
        boolean contradicts = known != null && !known.origin().filter(origin::equals).isPresent();
        long expiresAt = now + keep.toNanos();
        if (known != null && known.expiresAt() - expiresAt > 0) {
            expiresAt = known.expiresAt();
        }
        entries.remove(key);
        entries.put(
                key, new Entry(contradicts ? Optional.empty() : Optional.of(origin), expiresAt));
        removeEldest(now);
    }

    /** Returns what is known of a stream. */
    public OriginLookup find(StreamKey key, long now) {
        Entry known = findEntry(key, now);
        if (known == null) {
            return new OriginLookup.Unknown();
        }
        return known.origin()
                .<OriginLookup>map(OriginLookup.Known::new)
                .orElseGet(OriginLookup.Contradictory::new);
    }

    /** Returns all origins that have not expired, for a host that may have lost them. */
    public List<Memory> all(long now) {
        List<Memory> all = new ArrayList<>();
        entries.forEach(
                (key, entry) -> {
                    Duration remaining = Duration.ofNanos(entry.expiresAt() - now);
                    if (remaining.isPositive()) {
                        entry.origin()
                                .ifPresent(origin -> all.add(new Memory(key, origin, remaining)));
                    }
                });
        return all;
    }

    /** Returns the number of streams that are remembered, expired ones included. */
    public int size() {
        return entries.size();
    }

    private Entry findEntry(StreamKey key, long now) {
        Entry entry = entries.get(key);
        return entry == null || entry.expiresAt() - now <= 0 ? null : entry;
    }

    /** Removes what has expired among the oldest entries, and the oldest one of too many. */
    private void removeEldest(long now) {
        Iterator<Entry> eldest = entries.values().iterator();
        while (eldest.hasNext()) {
            boolean expired = eldest.next().expiresAt() - now <= 0;
            if (!expired && entries.size() <= MAX_REMEMBERED) {
                return;
            }
            eldest.remove();
        }
    }
}
