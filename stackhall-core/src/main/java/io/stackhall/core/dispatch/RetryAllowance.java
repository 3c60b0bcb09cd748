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
    private final double slack;
    private final long windowNanos;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> resends = new ArrayDeque<>();

    /**
     * Creates an allowance.
     *
     * @param ratio resends allowed for each request in a window
     * @param slack resends allowed beside, on this host
     * @param window the length of a window
     */
    public RetryAllowance(double ratio, double slack, Duration window) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowNanos = window.toNanos();
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
        double allowed = USED_SHARE * (ratio * requests.size() + slack);
        if (resends.size() + 1 > allowed) {
            return false;
        }
        resends.addLast(now);
        return true;
    }

    private void forget(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > windowNanos) {
            times.removeFirst();
        }
    }
}
