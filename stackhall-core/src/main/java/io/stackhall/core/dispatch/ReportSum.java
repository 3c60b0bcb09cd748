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
public final class ReportSum {

    private final Map<HostId, Work> works = new HashMap<>();
    private final Map<HostId, Waiting> waiting = new HashMap<>();
    private final Map<UpstreamId, InstanceWork> answers = new HashMap<>();
    private final Map<String, Integer> arrivals = new TreeMap<>();
    private long lifetimeNanos = new ReportPace(0).lifetime().toNanos();

    private record Work(Map<UpstreamId, InstanceWork> work, long at) {}

    private record Waiting(Map<String, Asked> asked, long at) {}

    /**
     * How a model or adapter is asked for.
     *
     * @param arrivals requests since the last report
     * @param waiting requests that wait for it now
     */
    public record Asked(int arrivals, int waiting) {}

    /** Takes in how many entry hosts there are, by which reports come more or less often. */
    public void shared(int hosts) {
        lifetimeNanos = new ReportPace(hosts).lifetime().toNanos();
    }

    /** Takes in what a host says of its requests at instances. */
    public void worked(HostId host, Map<UpstreamId, InstanceWork> work, long now) {
        works.put(host, new Work(Map.copyOf(work), now));
        work.forEach(
                (id, one) ->
                        answers.merge(
                                id,
                                new InstanceWork(0, one.answered(), one.slow()),
                                InstanceWork::plus));
    }

    /** Takes in what a host is asked for, by the names of models and adapters. */
    public void asked(HostId host, Map<String, Asked> asked, long now) {
        waiting.put(host, new Waiting(Map.copyOf(asked), now));
        asked.forEach((name, one) -> arrivals.merge(name, one.arrivals(), Integer::sum));
    }

    /** Takes the sum of the requests at each instance, and the answers since it was taken last. */
    public Map<UpstreamId, InstanceWork> takeWork(long now) {
        works.values().removeIf(work -> now - work.at() > lifetimeNanos);
        Map<UpstreamId, InstanceWork> sum = new HashMap<>(answers);
        answers.clear();
        for (Work work : works.values()) {
            work.work()
                    .forEach(
                            (id, one) ->
                                    sum.merge(
                                            id,
                                            new InstanceWork(one.requests(), 0, 0),
                                            InstanceWork::plus));
        }
        sum.values().removeIf(InstanceWork::isNothing);
        return sum;
    }

    /** Takes the sum of what waits, and the arrivals since it was taken last. */
    public Map<String, Asked> takeAsked(long now) {
        waiting.values().removeIf(host -> now - host.at() > lifetimeNanos);
        Map<String, Asked> sum = new TreeMap<>();
        arrivals.forEach((name, count) -> sum.put(name, new Asked(count, 0)));
        arrivals.clear();
        for (Waiting host : waiting.values()) {
            host.asked()
                    .forEach(
                            (name, one) ->
                                    sum.merge(
                                            name,
                                            new Asked(0, one.waiting()),
                                            (a, b) ->
                                                    new Asked(
                                                            a.arrivals() + b.arrivals(),
                                                            a.waiting() + b.waiting())));
        }
        sum.values().removeIf(one -> one.arrivals() == 0 && one.waiting() == 0);
        return sum;
    }
}
