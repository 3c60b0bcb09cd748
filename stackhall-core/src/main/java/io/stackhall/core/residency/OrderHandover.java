package io.stackhall.core.residency;

import java.time.Duration;

/**
 * When a new giver of orders begins.
 *
 * <p>A predecessor that may still act is given time to end. One that is out of reach, and so has
 * lost its lease before the election, is not waited for where engines themselves refuse its late
 * orders by their fencing numbers: on one day of load nobody gave orders for 8 s of 60, of which
 * 6.6 s were such pauses.
 */
public final class OrderHandover {

    private final boolean fenceChecked;
    private final Duration pause;

    /** What is known of the predecessor. */
    public enum Predecessor {
        /** Nobody has given orders, or an earlier process of this host has. */
        NONE,
        /** Its host is out of reach. */
        UNREACHABLE,
        /** Its host is in reach. */
        REACHABLE
    }

    /**
     * Creates the rule.
     *
     * @param fenceChecked whether engines refuse orders with an older fencing number
     * @param pause how long a predecessor that may still act is given
     */
    public OrderHandover(boolean fenceChecked, Duration pause) {
        this.fenceChecked = fenceChecked;
        this.pause = pause;
    }

    /**
     * Returns whether a new giver of orders may begin.
     *
     * @param electedAt when it was elected, on the monotonic clock in nanoseconds
     */
    public boolean mayIssueOrders(Predecessor predecessor, long electedAt, long now) {
        boolean waited = now - electedAt >= pause.toNanos();
        return switch (predecessor) {
            case NONE -> true;
            case UNREACHABLE -> fenceChecked || waited;
            case REACHABLE -> waited;
        };
    }
}
