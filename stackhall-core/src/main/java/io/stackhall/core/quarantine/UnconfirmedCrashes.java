package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests that stopped at an instance which may have crashed, before a crash could be observed:
 * those whose connection broke while something still accepted connections at the address, and those
 * whose callers disconnected. The crash is confirmed when a later incarnation of the instance
 * announces itself, or when another request or host observes it.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class UnconfirmedCrashes {

    /** A new incarnation announces itself within a few heartbeats. */
    private static final Duration RETENTION = Duration.ofSeconds(5);

    /**
     * As many broken connections as a network partition of a busy host causes; the oldest are
     * evicted.
     */
    private static final int MAX_INCARNATIONS = 500;

    private final Map<UpstreamId, Interrupted> interruptedByIncarnation = new LinkedHashMap<>();

    private record Interrupted(Set<RequestDigest> requests, long at) {}

    /** Records that a request has stopped at an instance which may have crashed. */
    public void recordInterrupted(UpstreamId incarnation, RequestDigest request, long now) {
        interruptedByIncarnation
                .computeIfAbsent(incarnation, key -> new Interrupted(new HashSet<>(), now))
                .requests()
                .add(request);
        if (interruptedByIncarnation.size() > MAX_INCARNATIONS) {
            interruptedByIncarnation.remove(interruptedByIncarnation.keySet().iterator().next());
        }
    }

    /**
     * Removes and returns the crashes that an announced incarnation confirms: those of earlier
     * incarnations of the same instance.
     */
    public List<Crash> confirmedBy(UpstreamId incarnation, long now) {
        List<Crash> confirmed = new ArrayList<>();
        sweep(now);
        interruptedByIncarnation
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean earlier = incarnation.startedAfter(entry.getKey());
                            if (earlier) {
                                confirmed.add(
                                        new Crash(entry.getKey(), entry.getValue().requests()));
                            }
                            return earlier;
                        });
        return confirmed;
    }

    /**
     * Removes and returns the requests recorded for an incarnation that is known to have crashed.
     */
    public Set<RequestDigest> takeRequests(UpstreamId incarnation, long now) {
        sweep(now);
        Interrupted interrupted = interruptedByIncarnation.remove(incarnation);
        return interrupted == null ? Set.of() : interrupted.requests();
    }

    /** Removes entries that are too old to be confirmed. */
    public void sweep(long now) {
        interruptedByIncarnation
                .values()
                .removeIf(interrupted -> now - interrupted.at() > RETENTION.toNanos());
    }
}
