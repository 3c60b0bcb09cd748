package io.stackhall.core.limit;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Manages the request rate limits that upstreams announce for all hosts together. Every control
 * host knows the limits; the leader decides on them and grants permits.
 *
 * <p>Load pattern: an overloaded upstream announces one request per second, and each of nine hosts
 * sends it less than that; together they send it several times as much. A fixed share of this limit
 * would be one request per host in nine seconds; instead hosts queue for permits, so that the limit
 * is used by the hosts that need it.
 *
 * <p>When an upstream stops announcing a limit, its request rate is raised over some seconds: the
 * return of all requests at once would overload it again.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class LimitManager {

    /**
     * Lowest rate of requests, also to an upstream that announces a lower limit or 0: only an
     * answer to a request can show that the limit has ended.
     */
    static final double MIN_PER_SECOND = 0.1;

    /**
     * Duration of each step while a limit is ending; long enough for an answer of the upstream to
     * arrive.
     */
    private static final long STEP_NANOS = Duration.ofSeconds(1).toNanos();

    /** Factor by which each step raises an ending limit. */
    private static final double STEP_FACTOR = 2;

    private static final int STEPS = 4;

    private final LimitTable table = new LimitTable();
    private final ReachableHosts reachableHosts = new ReachableHosts();
    private final Map<UpstreamId, PermitQueue> queues = new HashMap<>();
    private final Map<UpstreamId, Ending> endings = new HashMap<>();
    private long term;
    private long sequence;

    /** Progress of an ending limit: the steps taken, and when the last one began. */
    private record Ending(int steps, long since) {}

    /**
     * Messages to send.
     *
     * @param updates for all hosts
     * @param answers for the hosts that requested permits
     */
    public record Decisions(List<LimitUpdate> updates, List<PermitAnswer> answers) {}

    /**
     * Starts to decide as the leader of a term. Since the permits that its predecessor granted are
     * not known, each queue starts without tokens.
     */
    public void lead(long newTerm, long now) {
        term = newTerm;
        sequence = 0;
        queues.clear();
        endings.clear();
        for (LimitUpdate update : table.all()) {
            if (update.ending()) {
                endings.put(update.upstream(), new Ending(0, now));
            }
        }
    }

    /** Merges an update of the leader, and returns whether it is newer than the known one. */
    public boolean receive(LimitUpdate update) {
        return table.merge(update);
    }

    /** Returns the latest update of each upstream. */
    public LimitTable table() {
        return table;
    }

    /** Removes all upstreams except the given ones. */
    public void retain(Set<UpstreamId> upstreams) {
        table.retain(upstreams);
        queues.keySet().retainAll(upstreams);
        endings.keySet().retainAll(upstreams);
    }

    /** Records that a host has reported to this control host. */
    public void hostReported(HostId host, long now) {
        reachableHosts.reported(host, false, now);
    }

    /**
     * Returns the updates that follow from a limit that an upstream has announced to a host. Leader
     * only.
     *
     * <p>A stricter limit is always accepted, since sending less does no harm; a looser one, or
     * none, only if the host already knew the latest update when it sent the request.
     */
    public List<LimitUpdate> observe(LimitObservation observation, long now) {
        UpstreamId upstream = observation.upstream();
        LimitUpdate known = table.find(upstream);
        boolean knewLatest = observation.basis().compareTo(known.revision()) >= 0;
        boolean accepted = knewLatest || known.isTightenedBy(observation.perSecond());
        if (known.matches(observation.perSecond()) || !accepted) {
            return List.of();
        }
        if (observation.perSecond().isPresent()) {
            endings.remove(upstream);
            return List.of(publish(upstream, observation.perSecond(), false));
        }
        endings.put(upstream, new Ending(1, now));
        return List.of(publish(upstream, raised(known), true));
    }

    private LimitUpdate publish(UpstreamId upstream, OptionalDouble perSecond, boolean ending) {
        LimitUpdate update =
                new LimitUpdate(upstream, perSecond, ending, new LimitRevision(term, ++sequence));
        table.merge(update);
        return update;
    }

    private static OptionalDouble raised(LimitUpdate known) {
        return OptionalDouble.of(STEP_FACTOR * rate(known));
    }

    private static double rate(LimitUpdate update) {
        return Math.max(MIN_PER_SECOND, update.perSecond().orElse(0));
    }

    /** Handles a permit request of a host and returns the answers that are due. Leader only. */
    public List<PermitAnswer> request(PermitRequest request, long now) {
        reachableHosts.reported(request.host(), request.autonomous(), now);
        if (!table.find(request.upstream()).limited()) {
            return List.of();
        }
        PermitQueue queue = queue(request.upstream(), now);
        queue.consume(-request.returned(), now);
        return queue.request(request, now);
    }

    /**
     * Returns the updates and answers that are due. Leader only; to be called several times per 100
     * ms, the interval for which {@link PermitQueue} allows permits to accumulate.
     */
    public Decisions advance(long now) {
        List<LimitUpdate> updates = new ArrayList<>();
        for (UpstreamId upstream : List.copyOf(endings.keySet())) {
            Ending ending = endings.get(upstream);
            if (now - ending.since() >= STEP_NANOS) {
                updates.add(nextStep(upstream, ending, now));
            }
        }
        List<PermitAnswer> answers = new ArrayList<>();
        queues.keySet().removeIf(upstream -> !table.find(upstream).limited());
        for (UpstreamId upstream : queues.keySet()) {
            answers.addAll(queue(upstream, now).grant(now));
        }
        return new Decisions(updates, answers);
    }

    private LimitUpdate nextStep(UpstreamId upstream, Ending ending, long now) {
        if (ending.steps() >= STEPS) {
            endings.remove(upstream);
            return publish(upstream, OptionalDouble.empty(), false);
        }
        endings.put(upstream, new Ending(ending.steps() + 1, now));
        return publish(upstream, raised(table.find(upstream)), true);
    }

    private PermitQueue queue(UpstreamId upstream, long now) {
        PermitQueue queue = queues.computeIfAbsent(upstream, id -> new PermitQueue(id, now));
        queue.setRate(rate(table.find(upstream)) * reachableHosts.share(now), now);
        return queue;
    }
}
