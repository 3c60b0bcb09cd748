package io.stackhall.core.limit;

import io.stackhall.core.id.HostId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks which hosts the limit manager reaches. The other hosts may already be sending their equal
 * share of each limit on their own, so the manager does not grant that share.
 *
 * <p>Not thread-safe: one thread uses it.
 */
final class ReachableHosts {

    /**
     * Hosts report every second. They send on their own only after more than this without an
     * answer.
     */
    static final Duration REPORT_TIMEOUT = Duration.ofMillis(1600);

    /** A host that has not reported for this long counts as gone, not as unreachable. */
    private static final Duration EXPIRY = Duration.ofMinutes(1);

    private final Map<HostId, Long> lastReportAt = new HashMap<>();

    /**
     * Records a report of a host.
     *
     * @param autonomous whether it sends on its own, because no answer reaches it
     */
    void reported(HostId host, boolean autonomous, long now) {
        if (autonomous) {
            lastReportAt.put(host, now - REPORT_TIMEOUT.toNanos() - 1);
        } else {
            lastReportAt.put(host, now);
        }
    }

    /** Returns the fraction of the hosts that is reachable, between 0 and 1. */
    double share(long now) {
        lastReportAt.values().removeIf(at -> now - at > EXPIRY.toNanos());
        if (lastReportAt.isEmpty()) {
            return 1;
        }
        long reachable =
                lastReportAt.values().stream()
                        .filter(at -> now - at <= REPORT_TIMEOUT.toNanos())
                        .count();
        return (double) reachable / lastReportAt.size();
    }
}
