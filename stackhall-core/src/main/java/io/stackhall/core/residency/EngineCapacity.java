package io.stackhall.core.residency;

import io.stackhall.core.dispatch.InstanceWork;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.policy.PlacementView;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the rate of requests per second that saturates one engine, from the answers that
 * engines gave in time.
 *
 * <p>The rate is measured because it depends on the token throughput of the engine, its slots and
 * the length of the answers. A rate at which first events arrive in time is within capacity; a rate
 * at which many are slow exceeds it.
 *
 * <p>Not thread-safe.
 */
final class EngineCapacity {

    /** Long enough for several reports of each host and about ten answers of a busy engine. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

    /** Up to this share of slow answers, the rate is within capacity. */
    private static final double GOOD_SHARE = 0.05;

    /** From this share of slow answers on, the rate exceeds capacity. */
    private static final double BAD_SHARE = 0.25;

    /**
     * Part of the difference by which one slow window lowers the estimate; slow answers may have
     * other causes.
     */
    private static final double DECREASE_FACTOR = 0.1;

    private static final int MIN_ANSWERS = 4;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<UpstreamId, Window> windows = new HashMap<>();
    private double requestsPerSecond = PlacementView.DEFAULT_SATURATING_RATE;

    private static final class Window {
        private final long since;
        private int answered;
        private int slow;

        private Window(long since) {
            this.since = since;
        }
    }

    /** Records the work that a host reports for each engine since its previous report. */
    void recordWork(Map<UpstreamId, InstanceWork> work, long now) {
        work.forEach((id, reported) -> add(id, reported, now));
        windows.values().removeIf(window -> now - window.since > 2 * WINDOW_NANOS);
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }

    private void add(UpstreamId id, InstanceWork reported, long now) {
        Window window = windows.computeIfAbsent(id, key -> new Window(now));
        window.answered += reported.answered();
        window.slow += reported.slow();
        long length = now - window.since;
        if (length >= WINDOW_NANOS) {
            evaluate(window, length);
            windows.remove(id);
        }
    }

    private void evaluate(Window window, long length) {
        if (window.answered < MIN_ANSWERS) {
            return;
        }
        double rate = window.answered * NANOS_PER_SECOND / length;
        double slowShare = (double) window.slow / window.answered;
        if (slowShare <= GOOD_SHARE) {
            requestsPerSecond = Math.max(requestsPerSecond, rate);
        } else if (slowShare >= BAD_SHARE && rate < requestsPerSecond) {
            requestsPerSecond += (rate - requestsPerSecond) * DECREASE_FACTOR;
        }
    }
}
