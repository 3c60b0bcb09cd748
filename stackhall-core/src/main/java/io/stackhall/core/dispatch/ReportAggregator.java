package io.stackhall.core.dispatch;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Aggregates the reports of the entry hosts whose primary is this control host, for the other
 * control hosts, which then receive one report instead of one from each entry host.
 *
 * <p>The requests at an instance and the waiting requests are gauges, of which the latest value of
 * each host counts. Answers and arrivals are increments since the last report, each of which is
 * passed on once.
 *
 * <p>Not thread-safe: used by one thread.
 */
public final class ReportAggregator {

    private final WorkReports requestReports = new WorkReports();
    private final WorkReports unreadReports = new WorkReports();
    private final Map<HostId, HostDemand> waiting = new HashMap<>();
    private final Map<UpstreamId, InstanceWork> answers = new HashMap<>();
    private final Map<String, Integer> arrivals = new TreeMap<>();
    private long lifetimeNanos = new ReportTiming(0).lifetime().toNanos();

    private record HostDemand(Map<String, Demand> demand, long at) {}

    /**
     * The demand for a model or an adapter.
     *
     * @param arrivals the number of requests since the last report
     * @param waiting the number of requests that wait for it now
     */
    public record Demand(int arrivals, int waiting) {

        private Demand plus(Demand other) {
            return new Demand(arrivals + other.arrivals, waiting + other.waiting);
        }
    }

    /** Sets the number of entry hosts, which determines the lifetime of a report. */
    public void setHostCount(int hosts) {
        requestReports.setHostCount(hosts);
        unreadReports.setHostCount(hosts);
        lifetimeNanos = new ReportTiming(hosts).lifetime().toNanos();
    }

    /** Adds the work that a host reports at instances. */
    public void addWork(HostId host, Map<UpstreamId, InstanceWork> work, long now) {
        Map<UpstreamId, Integer> requests = new HashMap<>();
        work.forEach(
                (id, one) -> {
                    requests.put(id, one.requests());
                    add(answers, id, new InstanceWork(0, one.answered(), one.slow()));
                });
        requestReports.put(host, requests, now);
    }

    /** Adds how many prompt tokens of a host each instance has yet to process. */
    public void addUnreadTokens(HostId host, Map<UpstreamId, Integer> tokens, long now) {
        unreadReports.put(host, tokens, now);
    }

    /** Adds the demand that a host reports, by the names of models and adapters. */
    public void addDemand(HostId host, Map<String, Demand> asked, long now) {
        waiting.put(host, new HostDemand(Map.copyOf(asked), now));
        asked.forEach((name, one) -> arrivals.merge(name, one.arrivals(), Integer::sum));
    }

    /** Returns the requests at each instance, and the answers since the last call. */
    public Map<UpstreamId, InstanceWork> takeWork(long now) {
        Map<UpstreamId, InstanceWork> sum = new HashMap<>(answers);
        answers.clear();
        requestReports
                .sum(now)
                .forEach((id, requests) -> add(sum, id, new InstanceWork(requests, 0, 0)));
        sum.values().removeIf(InstanceWork::isNothing);
        return sum;
    }

    /** Returns the prompt tokens that each instance has yet to process. */
    public Map<UpstreamId, Integer> unreadTokens(long now) {
        return unreadReports.sum(now);
    }

    private static void add(Map<UpstreamId, InstanceWork> sum, UpstreamId id, InstanceWork work) {
        sum.merge(id, work, InstanceWork::plus);
    }

    /**
     * Returns the waiting requests, and the arrivals since the last call, by the names of models
     * and adapters.
     */
    public Map<String, Demand> takeDemand(long now) {
        waiting.values().removeIf(host -> now - host.at() > lifetimeNanos);
        Map<String, Demand> sum = new TreeMap<>();
        arrivals.forEach((name, count) -> sum.put(name, new Demand(count, 0)));
        arrivals.clear();
        for (HostDemand host : waiting.values()) {
            host.demand()
                    .forEach(
                            (name, one) ->
                                    sum.merge(name, new Demand(0, one.waiting()), Demand::plus));
        }
        sum.values().removeIf(one -> one.arrivals() == 0 && one.waiting() == 0);
        return sum;
    }
}
