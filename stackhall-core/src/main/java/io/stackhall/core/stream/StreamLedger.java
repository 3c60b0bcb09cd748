package io.stackhall.core.stream;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.stream.StreamOrigins.Memory;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What one entry host knows of the streams that began there, and which of them it has control hosts
 * remember: none while control hosts can vouch for a single version of a service, all of them
 * otherwise.
 *
 * <p>Answers the load of a rollout on many hosts of which some are killed: their callers come to
 * other hosts, with streams of several versions. Until then nothing is sent. While a control host
 * is out of reach, and for the life of a stream after, nobody can vouch for a single version.
 *
 * <p>Times are on the monotonic clock, in nanoseconds. Not thread-safe.
 */
public final class StreamLedger {

    /**
     * What may have been lost is told again if versions have mixed, or a control host was out of
     * reach, within this time.
     */
    private static final Duration MIX_MEMORY = Duration.ofDays(1);

    /** Control hosts say so each half second; after a gap this long it has begun anew. */
    private static final Duration UNWATCHED_GAP = Duration.ofSeconds(3);

    private final StreamOrigins origins = new StreamOrigins();
    private final VersionHistory versions = VersionHistory.notWatching();
    private Optional<Long> unwatchedAt = Optional.empty();

    /** Records that all instances of the moment are known. */
    public void startWatching(long now) {
        versions.startWatching(now);
    }

    /**
     * Records that control hosts cannot vouch for a single version now, as some control host is out
     * of reach.
     *
     * @return the streams to be remembered elsewhere from now on
     */
    public List<Memory> versionsUnwatched(long now) {
        boolean begins = !isUnwatched(UNWATCHED_GAP, now);
        unwatchedAt = Optional.of(now);
        return begins ? origins.all(now) : List.of();
    }

    /**
     * Applies a change of an instance.
     *
     * @return the streams to be remembered elsewhere from now on
     */
    public List<Memory> instanceChanged(Instance instance, long now) {
        boolean first = versions.update(instance, now);
        if (!first || !isToBeRemembered(instance.service(), MIX_MEMORY, now)) {
            return List.of();
        }
        return origins.all(now).stream()
                .filter(memory -> memory.origin().service().equals(instance.service()))
                .toList();
    }

    /** Returns the streams that a control host may have lost or missed. */
    public List<Memory> toRemember(long now) {
        return origins.all(now).stream()
                .filter(memory -> isToBeRemembered(memory.origin().service(), MIX_MEMORY, now))
                .toList();
    }

    /**
     * Records the first event of a stream, or of its continuation.
     *
     * @param keep how long its caller may still take it up
     * @return the stream, if it is to be remembered elsewhere
     */
    public List<Memory> begun(StreamKey key, StreamOrigin origin, Duration keep, long now) {
        origins.remember(key, origin, keep, now);
        return isToBeRemembered(origin.service(), keep, now)
                ? List.of(new Memory(key, origin, keep))
                : List.of();
    }

    /** Returns what is known of a stream. */
    public OriginLookup find(StreamKey key, long now) {
        return origins.find(key, now);
    }

    /** Returns the versions of a service that have been there at some time within a period. */
    public VersionsSeen seen(ServiceName service, Duration period, long now) {
        return versions.seen(service, period, now);
    }

    /** Returns the number of streams that are remembered here. */
    public int size() {
        return origins.size();
    }

    private boolean isToBeRemembered(ServiceName service, Duration period, long now) {
        return isUnwatched(period, now) || seen(service, period, now).mayMix();
    }

    private boolean isUnwatched(Duration period, long now) {
        return unwatchedAt.filter(at -> now - at <= period.toNanos()).isPresent();
    }
}
