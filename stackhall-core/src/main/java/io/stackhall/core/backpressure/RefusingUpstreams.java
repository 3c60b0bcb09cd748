package io.stackhall.core.backpressure;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks upstreams that refuse one host's requests without naming a time to retry. Other upstreams
 * are preferred for a pause that doubles with each further refusal. Where there is no other, the
 * request is sent all the same, since an upstream that is merely full may accept it at any time.
 *
 * <p>Not thread-safe: one thread uses it.
 */
final class RefusingUpstreams {

    /** How long other upstreams are preferred after a single refusal. */
    private static final Duration INITIAL_PAUSE = Duration.ofMillis(500);

    /** Limits the pause, so that the upstream is tried again every few seconds. */
    private static final int MAX_DOUBLINGS = 3;

    private final Map<UpstreamId, Refusals> refusals = new HashMap<>();

    /** Consecutive refusals, and until when other upstreams are preferred. */
    private record Refusals(int count, long until) {}

    /** Records that an upstream refused a request. */
    void refused(UpstreamId id, long now) {
        Refusals before = refusals.get(id);
        int count = before == null ? 0 : before.count();
        if (before == null || now - before.until() >= 0) {
            long pause = INITIAL_PAUSE.toNanos() << Math.min(count, MAX_DOUBLINGS);
            refusals.put(id, new Refusals(count + 1, now + pause));
        }
    }

    /** Returns whether other upstreams are preferred to an upstream. */
    boolean comesLast(UpstreamId id, long now) {
        Refusals known = refusals.get(id);
        return known != null && now - known.until() < 0;
    }

    /** Records that an upstream accepted a request. */
    void answered(UpstreamId id) {
        refusals.remove(id);
    }

    /** Removes an upstream that is gone. */
    void forget(UpstreamId id) {
        refusals.remove(id);
    }
}
