package io.stackhall.core.dispatch;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * How many times as long as usual work takes at an instance, by its own reports. A report decays to
 * 1, since the share of a machine that an instance gets changes quickly.
 *
 * <p>Not thread-safe.
 */
final class ReportedSlowdown {

    private static final long HALF_LIFE_NANOS = Duration.ofMillis(300).toNanos();

    /** Reports beyond these bounds would open or close the prompt window without limit. */
    private static final double MIN = 0.25;

    private static final double MAX = 16;

    private boolean known;
    private double latest = 1;
    private double peak = 1;
    private long reportedAt;

    /** Records what an answer reports; one without a figure changes nothing. */
    void update(OptionalDouble reported, long now) {
        if (reported.isPresent()) {
            double slowdown = Math.clamp(reported.getAsDouble(), MIN, MAX);
            peak = Math.max(slowdown, recentPeak(now));
            latest = slowdown;
            reportedAt = now;
            known = true;
        }
    }

    /** Returns whether the instance reports its slowdown. */
    boolean isKnown() {
        return known;
    }

    /** Returns the slowdown of work that starts now. */
    double current(long now) {
        return decayed(latest, now);
    }

    /**
     * Returns the slowdown that an answer which arrives now may have met: the highest one reported,
     * decaying to 1. The last report alone does not tell it if the slowdown has just ended.
     */
    double recentPeak(long now) {
        return decayed(peak, now);
    }

    private double decayed(double slowdown, long now) {
        double halves = (double) (now - reportedAt) / HALF_LIFE_NANOS;
        return 1 + (slowdown - 1) * Math.pow(0.5, Math.max(0, halves));
    }
}
