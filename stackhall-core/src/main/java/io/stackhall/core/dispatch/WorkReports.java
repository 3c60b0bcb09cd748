package io.stackhall.core.dispatch;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;

/**
 * The number of requests, or of unread prompt tokens, at each instance as recently reported by
 * several hosts.
 *
 * <p>An engine that does not report its load queues requests beyond its slots, where they can no
 * longer be sent elsewhere. While each host knew only its own requests, the first event took 90 ms
 * for requests that found up to 48 others at an engine of 48 slots, and 661 ms for those that found
 * 64 (medians from the log of one day with failures).
 *
 * <p>Not thread-safe: used by one thread.
 */
public final class WorkReports {

    private final Map<HostId, Report> reports = new HashMap<>();
    private long lifetimeNanos = new ReportTiming(0).lifetime().toNanos();

    private record Report(Map<UpstreamId, Integer> work, long at) {}

    /** Sets the number of entry hosts, which determines the lifetime of a report. */
    public void setHostCount(int hosts) {
        lifetimeNanos = new ReportTiming(hosts).lifetime().toNanos();
    }

    /** Replaces the report of a host; instances that it does not contain have no work. */
    public void put(HostId host, Map<UpstreamId, Integer> work, long now) {
        reports.put(host, new Report(Map.copyOf(work), now));
        reports.values().removeIf(report -> now - report.at() > lifetimeNanos);
    }

    /** Returns the sum over all hosts. */
    Map<UpstreamId, Integer> sum(long now) {
        return merged(null, Integer::sum, now);
    }

    /** Returns the sum over all hosts but one. */
    public Map<UpstreamId, Integer> sumExcluding(HostId host, long now) {
        return merged(host, Integer::sum, now);
    }

    /**
     * Returns the highest value that any host has reported for each instance: a host that is cut
     * off reports less.
     */
    public Map<UpstreamId, Integer> max(long now) {
        return merged(null, Integer::max, now);
    }

    private Map<UpstreamId, Integer> merged(
            HostId excluded, BinaryOperator<Integer> how, long now) {
        Map<UpstreamId, Integer> all = new HashMap<>();
        reports.forEach(
                (host, report) -> {
                    if (!host.equals(excluded) && now - report.at() <= lifetimeNanos) {
                        report.work().forEach((id, count) -> all.merge(id, count, how));
                    }
                });
        return all;
    }
}
