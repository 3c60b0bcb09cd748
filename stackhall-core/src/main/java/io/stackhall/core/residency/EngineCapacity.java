package io.stackhall.core.residency;

import io.stackhall.core.dispatch.InstanceWork;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.policy.PlacementView;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How many requests a second keep one engine busy, learned from what engines have answered in time.
 *
 * <p>Engines differ: by the tokens that they read and make, by their slots, by the length of
 * answers. A rate at which first events come in time is within the capacity; one at which many are
 * slow is beyond it.
 *
 * <p>Not thread-safe: one thread uses it.
 */
final class EngineCapacity {

    /** Several reports of each host, and some ten answers of a busy engine. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

    /** Up to this share of slow answers the rate is within the capacity. */
    private static final double GOOD_SHARE = 0.05;

    /** From this share on it is beyond. */
    private static final double BAD_SHARE = 0.25;

    /** One window with many slow answers may have other causes. */
    private static final double FALL = 0.1;

    private static final int LEAST_ANSWERS = 4;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<UpstreamId, Window> windows = new HashMap<>();
    private double perSecond = PlacementView.DEFAULT_SATURATING_RATE;

    private static final class Window {
        private final long since;
        private int answered;
        private int slow;

        private Window(long since) {
            this.since = since;
        }
    }

    /** Takes in what a host says of each engine since it told last. */
    void worked(Map<UpstreamId, InstanceWork> work, long now) {
        work.forEach((id, told) -> add(id, told, now));
        windows.values().removeIf(window -> now - window.since > 2 * WINDOW_NANOS);
    }

    double perSecond() {
        return perSecond;
    }

    private void add(UpstreamId id, InstanceWork told, long now) {
        Window window = windows.computeIfAbsent(id, key -> new Window(now));
        window.answered += told.answered();
        window.slow += told.slow();
        long length = now - window.since;
        if (length >= WINDOW_NANOS) {
            judge(window, length);
            windows.remove(id);
        }
    }

    private void judge(Window window, long length) {
        if (window.answered < LEAST_ANSWERS) {
            return;
        }
        double rate = window.answered * NANOS_PER_SECOND / length;
        double slowShare = (double) window.slow / window.answered;
        if (slowShare <= GOOD_SHARE) {
            perSecond = Math.max(perSecond, rate);
        } else if (slowShare >= BAD_SHARE && rate < perSecond) {
            perSecond += (rate - perSecond) * FALL;
        }
    }
}
