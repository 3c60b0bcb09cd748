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
 * Requests that instances broke off while somebody still listened at their addresses: a connection
 * that was lost, or an instance that is back within milliseconds. In the second case a later life
 * under the same name tells of itself, and the end of the earlier one is known after all.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class UnexplainedEnds {

    /** A life tells of itself within a few heartbeats. */
    private static final Duration REMEMBERED = Duration.ofSeconds(5);

    /** As many break-offs as a cut through a busy host makes; the oldest give way. */
    private static final int MOST_LIVES = 500;

    private final Map<UpstreamId, BrokenOff> lives = new LinkedHashMap<>();

    private record BrokenOff(Set<RequestDigest> requests, long at) {}

    /** Notes that an instance has broken a request off. */
    public void brokeOff(UpstreamId life, RequestDigest request, long now) {
        lives.computeIfAbsent(life, key -> new BrokenOff(new HashSet<>(), now))
                .requests()
                .add(request);
        if (lives.size() > MOST_LIVES) {
            lives.remove(lives.keySet().iterator().next());
        }
    }

    /**
     * Returns the ends that a life that is heard of explains: those of earlier ones of its name.
     */
    public List<Crash> heardOf(UpstreamId life, long now) {
        List<Crash> explained = new ArrayList<>();
        sweep(now);
        lives.entrySet()
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

    /** Forgets what no life can explain any more. */
    public void sweep(long now) {
        lives.values().removeIf(broken -> now - broken.at() > REMEMBERED.toNanos());
    }
}
