package io.stackhall.core.customer;

import java.time.Duration;

/**
 * By how much all hosts together may exceed a limit while they cannot coordinate.
 *
 * @param window the window over which requests are counted
 * @param ratio the share of a limit by which it may be exceeded in a window
 * @param slack what may run in addition in a window, in the limit's units
 */
public record LimitTolerance(Duration window, double ratio, double slack) {

    private static final double MILLIS_PER_SECOND = 1000;

    /** Returns by how much all hosts together may exceed a limit in a window, in its units. */
    public double allowedExcess(CustomerLimit limit) {
        double seconds = window.toMillis() / MILLIS_PER_SECOND;
        return ratio * (limit.perSecond() * seconds + limit.burst()) + slack;
    }
}
