package io.stackhall.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds how often one host sends a request a second time, so that all hosts together stay within
 * their common bound without asking each other.
 *
 * <p>Each host allows itself a ratio of its own requests and its share of the common slack. The
 * shares are fixed, so that a lost host's share stays unused.
 */
public final class RetryAllowance {

    /** Kept free for sends whose requests come to count in another window than their resends. */
    private static final double USED_SHARE = 0.8;

    private final double ratio;
    private final double commonSlack;
    private final long windowNanos;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> resends = new ArrayDeque<>();
    private int hosts;

    /**
     * Creates an allowance.
     *
     * @param ratio resends allowed for each request in a window
     * @param commonSlack resends allowed beside, over all hosts
     * @param hosts how many hosts share the slack, until more is known
     * @param window the length of a window
     */
    public RetryAllowance(double ratio, double commonSlack, int hosts, Duration window) {
        this.ratio = ratio;
        this.commonSlack = commonSlack;
        this.hosts = hosts;
        this.windowNanos = window.toNanos();
    }

    /** Takes in how many hosts there are; a host that was lost goes on counting. */
    public void shared(int seen) {
        hosts = Math.max(hosts, seen);
    }

    /** Notes a request. */
    public void requested(long now) {
        requests.addLast(now);
        forget(requests, now);
    }

    /** Takes one resend out of the allowance, if there is one left. */
    public boolean take(long now) {
        forget(requests, now);
        forget(resends, now);
        if (left() < 1) {
            return false;
        }
        resends.addLast(now);
        return true;
    }

    /** Returns how many resends are left, as of the last request or resend. */
    public double left() {
        double allowed = USED_SHARE * (ratio * requests.size() + commonSlack / hosts);
        return allowed - resends.size();
    }

    private void forget(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > windowNanos) {
            times.removeFirst();
        }
    }
}
