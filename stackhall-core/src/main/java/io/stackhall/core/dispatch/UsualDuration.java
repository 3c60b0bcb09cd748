package io.stackhall.core.dispatch;

import java.util.Collection;

/**
 * The mean duration of the requests at one instance, without the slowdown that the instance
 * reported at the time.
 */
final class UsualDuration {

    /** The mean weights each new sample by one over this number. */
    private static final int MEMORY = 64;

    /**
     * An instance counts as having had this many more requests of the mean duration of all, so that
     * a few long ones do not make it look slow.
     */
    private static final double PRIOR_SAMPLES = 16;

    private double meanNanos;
    private int samples;

    /** Records the duration of a request, and the slowdown of its instance. */
    void addSample(long nanos, double slowdown) {
        samples = Math.min(samples + 1, MEMORY);
        meanNanos += (nanos / slowdown - meanNanos) / samples;
    }

    /**
     * Returns how many times as long as at all of some instances a request usually takes at this
     * one; 1 if nothing is known.
     *
     * @param all the usual durations of the instances, with this one
     */
    double relativeTo(Collection<UsualDuration> all) {
        double sum = 0;
        int known = 0;
        for (UsualDuration one : all) {
            sum += one.samples == 0 ? 0 : one.meanNanos;
            known += one.samples == 0 ? 0 : 1;
        }
        if (sum <= 0) {
            return 1;
        }
        double relative = meanNanos * known / sum;
        return (samples * relative + PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES);
    }
}
