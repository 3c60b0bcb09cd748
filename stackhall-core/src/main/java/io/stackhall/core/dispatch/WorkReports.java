package io.stackhall.core.dispatch;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;

/**
 * How many requests there are at each instance, as several hosts have said lately.
 *
 * <p>An engine that does not tell its load queues what comes beyond its slots, out of reach of a
 * better choice. While each host knew its own requests only, the first event of requests that found
 * up to 48 others at an engine of 48 slots took 90 ms, and of those that found 64 took 661 ms
 * (medians of one day of trouble, from the log).
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class WorkReports {

    private final Map<HostId, Report> reports = new HashMap<>();
    private long lifetimeNanos = new ReportTiming(0).lifetime().toNanos();

    private record Report(Map<UpstreamId, Integer> work, long at) {}

    /** Takes in how many entry hosts there are, by which reports come more or less often. */
    public void setHostCount(int hosts) {
        lifetimeNanos = new ReportTiming(hosts).lifetime().toNanos();
    }

    /** Takes in what a host says; instances that it does not name have no work. */
    public void put(HostId host, Map<UpstreamId, Integer> work, long now) {
        reports.put(host, new Report(Map.copyOf(work), now));
        reports.values().removeIf(report -> now - report.at() > lifetimeNanos);
    }

    /** Returns the work of all hosts, added up. */
    Map<UpstreamId, Integer> sum(long now) {
        return merged(null, Integer::sum, now);
    }

    /** Returns the work of all hosts but one, added up. */
    public Map<UpstreamId, Integer> sumExcluding(HostId host, long now) {
        return merged(host, Integer::sum, now);
    }

    /** Returns the most that any host has said of each instance: one that is cut off hears less. */
    public Map<UpstreamId, Integer> max(long now) {
        return merged(null, Integer::max, now);
    }

    private Map<UpstreamId, Integer> merged(HostId without, BinaryOperator<Integer> how, long now) {
        Map<UpstreamId, Integer> all = new HashMap<>();
        reports.forEach(
                (host, report) -> {
                    if (!host.equals(without) && now - report.at() <= lifetimeNanos) {
                        report.work().forEach((id, count) -> all.merge(id, count, how));
                    }
                });
        return all;
    }
}
