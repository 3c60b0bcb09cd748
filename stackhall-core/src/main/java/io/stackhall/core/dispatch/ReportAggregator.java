package io.stackhall.core.dispatch;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The reports of the entry hosts that have this control host as their primary, added up for the
 * other control hosts: they take one report where they took one from each entry host.
 *
 * <p>Requests that are at an instance or wait are counts of now, of which the latest report of a
 * host stands; answers and arrivals are counts since the last report, each of which is passed on
 * once.
 *
 * <p>Not thread-safe: one thread uses it.
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
     * How a model or adapter is asked for.
     *
     * @param arrivals requests since the last report
     * @param waiting requests that wait for it now
     */
    public record Demand(int arrivals, int waiting) {

        private Demand plus(Demand other) {
            return new Demand(arrivals + other.arrivals, waiting + other.waiting);
        }
    }

    /** Takes in how many entry hosts there are, by which reports come more or less often. */
    public void setHostCount(int hosts) {
        requestReports.setHostCount(hosts);
        unreadReports.setHostCount(hosts);
        lifetimeNanos = new ReportTiming(hosts).lifetime().toNanos();
    }

    /** Takes in what a host says of its requests at instances. */
    public void addWork(HostId host, Map<UpstreamId, InstanceWork> work, long now) {
        Map<UpstreamId, Integer> requests = new HashMap<>();
        work.forEach(
                (id, one) -> {
                    requests.put(id, one.requests());
                    add(answers, id, new InstanceWork(0, one.answered(), one.slow()));
                });
        requestReports.put(host, requests, now);
    }

    /** Takes in how many tokens of a host's prompts each instance has not read yet. */
    public void addUnreadTokens(HostId host, Map<UpstreamId, Integer> tokens, long now) {
        unreadReports.put(host, tokens, now);
    }

    /** Takes in what a host is asked for, by the names of models and adapters. */
    public void addDemand(HostId host, Map<String, Demand> asked, long now) {
        waiting.put(host, new HostDemand(Map.copyOf(asked), now));
        asked.forEach((name, one) -> arrivals.merge(name, one.arrivals(), Integer::sum));
    }

    /** Takes the sum of the requests at each instance, and the answers since it was taken last. */
    public Map<UpstreamId, InstanceWork> takeWork(long now) {
        Map<UpstreamId, InstanceWork> sum = new HashMap<>(answers);
        answers.clear();
        requestReports
                .sum(now)
                .forEach((id, requests) -> add(sum, id, new InstanceWork(requests, 0, 0)));
        sum.values().removeIf(InstanceWork::isNothing);
        return sum;
    }

    /** Returns the sum of the tokens that are to be read at each instance. */
    public Map<UpstreamId, Integer> unreadTokens(long now) {
        return unreadReports.sum(now);
    }

    private static void add(Map<UpstreamId, InstanceWork> sum, UpstreamId id, InstanceWork work) {
        sum.merge(id, work, InstanceWork::plus);
    }

    /** Takes the sum of what waits, and the arrivals since it was taken last. */
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
