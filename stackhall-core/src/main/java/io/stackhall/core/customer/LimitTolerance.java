package io.stackhall.core.customer;

import java.time.Duration;

/**
 * By how much the hosts together may exceed a limit where they cannot agree.
 *
 * @param window the span in which what has run is counted
 * @param ratio the part of a limit that may be run beyond it in a window
 * @param slack what may be run beside in a window, in the limit's units
 */
public record LimitTolerance(Duration window, double ratio, double slack) {

    private static final double MILLIS_PER_SECOND = 1000;

    /** Returns what all hosts together may run beyond a limit in a window, in its units. */
    public double allowedExcess(CustomerLimit limit) {
        double seconds = window.toMillis() / MILLIS_PER_SECOND;
        return ratio * (limit.perSecond() * seconds + limit.burst()) + slack;
    }
}
