package io.stackhall.core.limit;

import io.stackhall.core.id.HostId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Which part of the hosts a keeper grants to. The others may have begun to send by themselves their
 * equal share of each limit, which the keeper leaves to them.
 *
 * <p>Not thread-safe: one thread uses it.
 */
final class ReachableHosts {

    /** Hosts report every second; they send by themselves only after a longer silence. */
    static final Duration REPORT_TIMEOUT = Duration.ofMillis(1600);

    /** A host that was silent for this long is taken for gone, not for cut off. */
    private static final Duration EXPIRY = Duration.ofMinutes(1);

    private final Map<HostId, Long> lastReportAt = new HashMap<>();

    /**
     * Takes in that a host reports.
     *
     * @param unled whether it sends by itself, since nothing reaches it
     */
    void reported(HostId host, boolean unled, long now) {
        if (unled) {
            lastReportAt.put(host, now - REPORT_TIMEOUT.toNanos() - 1);
        } else {
            lastReportAt.put(host, now);
        }
    }

    /** Returns the part of the hosts that is in reach, between 0 and 1. */
    double share(long now) {
        lastReportAt.values().removeIf(at -> now - at > EXPIRY.toNanos());
        if (lastReportAt.isEmpty()) {
            return 1;
        }
        long near =
                lastReportAt.values().stream()
                        .filter(at -> now - at <= REPORT_TIMEOUT.toNanos())
                        .count();
        return (double) near / lastReportAt.size();
    }
}
