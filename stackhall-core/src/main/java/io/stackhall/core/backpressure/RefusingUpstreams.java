package io.stackhall.core.backpressure;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Which upstreams turn one host's requests away and do not say for how long. Others go before them
 * for a while, twice as long after each further refusal; where there is no other, they are asked
 * all the same, since one that is merely full has room again at any moment.
 *
 * <p>Not thread-safe: one thread uses it.
 */
final class RefusingUpstreams {

    /** How long others go first after a single refusal. */
    private static final Duration INITIAL_PAUSE = Duration.ofMillis(500);

    /** From there on others go first for no longer, so that it is tried again every few seconds. */
    private static final int MAX_DOUBLINGS = 3;

    private final Map<UpstreamId, Refusals> refusals = new HashMap<>();

    /** Refusals in a row, and until when others go first. */
    private record Refusals(int count, long until) {}

    /** Notes that an upstream has turned a request away. */
    void refused(UpstreamId id, long now) {
        Refusals before = refusals.get(id);
        int count = before == null ? 0 : before.count();
        if (before == null || now - before.until() >= 0) {
            long pause = INITIAL_PAUSE.toNanos() << Math.min(count, MAX_DOUBLINGS);
            refusals.put(id, new Refusals(count + 1, now + pause));
        }
    }

    /** Returns whether others go before an upstream. */
    boolean comesLast(UpstreamId id, long now) {
        Refusals known = refusals.get(id);
        return known != null && now - known.until() < 0;
    }

    /** Notes that an upstream has taken a request in. */
    void answered(UpstreamId id) {
        refusals.remove(id);
    }

    /** Forgets an upstream that is gone. */
    void forget(UpstreamId id) {
        refusals.remove(id);
    }
}
