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
 * Requests that left instances before an end of the instance could be seen: those that it broke off
 * while somebody still listened at its address, and those whose callers gave them up. Where a later
 * life under the same name tells of itself, or another request or host finds the end, it is known
 * after all.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class UnconfirmedCrashes {

    /** A life tells of itself within a few heartbeats. */
    private static final Duration RETENTION = Duration.ofSeconds(5);

    /** As many break-offs as a cut through a busy host makes; the oldest give way. */
    private static final int MAX_INCARNATIONS = 500;

    private final Map<UpstreamId, Interrupted> interruptedByIncarnation = new LinkedHashMap<>();

    private record Interrupted(Set<RequestDigest> requests, long at) {}

    /** Notes that a request has left an instance, which may have ended under it. */
    public void recordInterrupted(UpstreamId life, RequestDigest request, long now) {
        interruptedByIncarnation
                .computeIfAbsent(life, key -> new Interrupted(new HashSet<>(), now))
                .requests()
                .add(request);
        if (interruptedByIncarnation.size() > MAX_INCARNATIONS) {
            interruptedByIncarnation.remove(interruptedByIncarnation.keySet().iterator().next());
        }
    }

    /**
     * Returns the ends that a life that is heard of explains: those of earlier ones of its name.
     */
    public List<Crash> confirmedBy(UpstreamId life, long now) {
        List<Crash> explained = new ArrayList<>();
        sweep(now);
        interruptedByIncarnation
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean earlier = life.startedAfter(entry.getKey());
                            if (earlier) {
                                explained.add(
                                        new Crash(entry.getKey(), entry.getValue().requests()));
                            }
                            return earlier;
                        });
        return explained;
    }

    /** Returns what left a life that is known to have ended, and forgets it. */
    public Set<RequestDigest> takeRequests(UpstreamId life, long now) {
        sweep(now);
        Interrupted of = interruptedByIncarnation.remove(life);
        return of == null ? Set.of() : of.requests();
    }

    /** Forgets what no life can explain any more. */
    public void sweep(long now) {
        interruptedByIncarnation.values().removeIf(left -> now - left.at() > RETENTION.toNanos());
    }
}
