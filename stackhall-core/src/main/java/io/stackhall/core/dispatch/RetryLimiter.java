package io.stackhall.core.dispatch;

import io.stackhall.core.id.ServiceName;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how often one host sends requests for a service a second time, so that all hosts together
 * stay within their common bound for it without asking each other.
 *
 * <p>For each service a host allows itself a ratio of its own requests and its share of the common
 * slack. The shares are fixed, so that a lost host's share stays unused. Each service has a bound
 * of its own: by one for all, a small one in need would get as many resends as a busy one beside it
 * leaves unused.
 */
public final class RetryLimiter {

    /** Kept free for sends whose requests come to count in another window than their resends. */
    private static final double USED_SHARE = 0.8;

    private final double ratio;
    private final double commonSlack;
    private final long windowNanos;
    private final Map<ServiceName, Window> windows = new HashMap<>();
    private int hosts;

    /** When requests for one service came, and when some were sent again. */
    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> resends = new ArrayDeque<>();
    }

    /**
     * Creates an allowance.
     *
     * @param ratio resends allowed for each request in a window
     * @param commonSlack resends allowed beside, over all hosts
     * @param hosts how many hosts share the slack, until more is known
     * @param window the length of a window
     */
    public RetryLimiter(double ratio, double commonSlack, int hosts, Duration window) {
        this.ratio = ratio;
        this.commonSlack = commonSlack;
        this.hosts = hosts;
        this.windowNanos = window.toNanos();
    }

    /** Takes in how many hosts there are; a host that was lost goes on counting. */
    public void updateHostCount(int seen) {
        hosts = Math.max(hosts, seen);
    }

    /** Notes a request for a service. */
    public void recordRequest(ServiceName service, long now) {
        Window window = window(service);
        window.requests.addLast(now);
        forget(window.requests, now);
    }

    /** Takes one resend of a service's requests out of its allowance, if there is one left. */
    public boolean tryTake(ServiceName service, long now) {
        Window window = window(service);
        forget(window.requests, now);
        forget(window.resends, now);
        if (remaining(window) < 1) {
            return false;
        }
        window.resends.addLast(now);
        return true;
    }

    /** Returns how many resends the service with the fewest has left, as of its last request. */
    public double remaining() {
        return windows.values().stream()
                .mapToDouble(this::remaining)
                .min()
                .orElse(USED_SHARE * commonSlack / hosts);
    }

    private double remaining(Window window) {
        double allowed = USED_SHARE * (ratio * window.requests.size() + commonSlack / hosts);
        return allowed - window.resends.size();
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
