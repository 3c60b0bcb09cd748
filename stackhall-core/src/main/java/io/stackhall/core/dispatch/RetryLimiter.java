package io.stackhall.core.dispatch;

import io.stackhall.core.id.ServiceName;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits how often one host retries requests of a service, so that all hosts together stay within a
 * common limit without coordination.
 *
 * <p>For each service a host may retry a ratio of its own requests, plus its share of a common
 * slack. The shares are fixed, so that the share of a failed host stays unused. Each service has
 * its own limit: with one for all, a small service that fails would get the retries that a busy
 * service next to it leaves unused.
 */
public final class RetryLimiter {

    /**
     * Share of the allowance that is used; the rest covers requests that count in another window
     * than their retries.
     */
    private static final double USED_SHARE = 0.8;

    private final double ratio;
    private final double commonSlack;
    private final long windowNanos;
    private final Map<ServiceName, Window> windows = new HashMap<>();
    private int hosts;

    /** The times at which requests for one service arrived, and at which some were retried. */
    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> retries = new ArrayDeque<>();
    }

    /**
     * Creates a limiter.
     *
     * @param ratio retries allowed per request in a window
     * @param commonSlack additional retries allowed over all hosts
     * @param hosts the number of hosts that share the slack, until more are seen
     * @param window the length of a window
     */
    public RetryLimiter(double ratio, double commonSlack, int hosts, Duration window) {
        this.ratio = ratio;
        this.commonSlack = commonSlack;
        this.hosts = hosts;
        this.windowNanos = window.toNanos();
    }

    /** Updates the number of hosts; it never decreases, so that a failed host keeps its share. */
    public void updateHostCount(int seen) {
        hosts = Math.max(hosts, seen);
    }

    /** Records a request for a service. */
    public void recordRequest(ServiceName service, long now) {
        Window window = window(service);
        window.requests.addLast(now);
        forget(window.requests, now);
    }

    /**
     * Takes one retry out of the allowance of a service, and returns whether there was one left.
     */
    public boolean tryTake(ServiceName service, long now) {
        Window window = window(service);
        forget(window.requests, now);
        forget(window.retries, now);
        if (remaining(window) < 1) {
            return false;
        }
        window.retries.addLast(now);
        return true;
    }

    /** Returns the remaining retries of the service with the fewest, as of its last request. */
    public double remaining() {
        return windows.values().stream()
                .mapToDouble(this::remaining)
                .min()
                .orElse(USED_SHARE * commonSlack / hosts);
    }

    private double remaining(Window window) {
        double allowed = USED_SHARE * (ratio * window.requests.size() + commonSlack / hosts);
        return allowed - window.retries.size();
    }

    private Window window(ServiceName service) {
        return windows.computeIfAbsent(service, name -> new Window());
    }

    private void forget(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > windowNanos) {
            times.removeFirst();
        }
    }
}
