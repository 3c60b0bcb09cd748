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
 * Keeps the limits that upstreams name over all hosts together. Every control host knows them; the
 * one that leads decides what they are, and grants permits.
 *
 * <p>Load pattern: an upstream in need names one request a second, and each of nine hosts sends it
 * less than that; together they send it several times as much. A fixed share of such a limit would
 * be one request of a host in nine seconds; here hosts wait in turn, so that the limit is used by
 * whoever needs it.
 *
 * <p>When an upstream names a limit no more, requests come back over some seconds: all at once
 * would put it in need again.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class LimitManager {

    /**
     * An upstream that takes nothing still gets a request now and then, since only an answer can
     * tell that the limit has ended.
     */
    static final double MIN_PER_SECOND = 0.1;

    /** How long each step of a limit's end lasts; an answer of the upstream comes within it. */
    private static final long STEP_NANOS = Duration.ofSeconds(1).toNanos();

    private static final double STEP_FACTOR = 2;
    private static final int STEPS = 4;

    private final LimitTable table = new LimitTable();
    private final ReachableHosts reachableHosts = new ReachableHosts();
    private final Map<UpstreamId, PermitQueue> queues = new HashMap<>();
    private final Map<UpstreamId, Ending> endings = new HashMap<>();
    private long term;
    private long sequence;

    /** How far the end of a limit has come. */
    private record Ending(int steps, long since) {}

    /** What is to be told: new words to all hosts, answers to those that asked. */
    public record Decisions(List<LimitUpdate> updates, List<PermitAnswer> answers) {}

    /**
     * Begins to decide, as the leader of a term. What its predecessor granted is not known: each
     * limit has to earn its next permit.
     */
    public void lead(long newTerm, long now) {
        term = newTerm;
        sequence = 0;
        queues.clear();
        endings.clear();
        for (LimitUpdate word : table.all()) {
            if (word.ending()) {
                endings.put(word.upstream(), new Ending(0, now));
            }
        }
    }

    /** Takes in what the leader says, and returns whether it is news. */
    public boolean receive(LimitUpdate word) {
        return table.merge(word);
    }

    /** Returns the newest word on each upstream. */
    public LimitTable table() {
        return table;
    }

    /** Forgets all upstreams but some. */
    public void retain(Set<UpstreamId> upstreams) {
        table.retain(upstreams);
        queues.keySet().retainAll(upstreams);
        endings.keySet().retainAll(upstreams);
    }

    /** Takes in that a host has reported to this one. */
    public void hostReported(HostId host, long now) {
        reachableHosts.reported(host, false, now);
    }

    /**
     * Decides about what an upstream has told a host; for the leader alone.
     *
     * <p>A stricter limit always counts, since holding back does no harm; a looser one, or none,
     * only if the host already knew the newest word when it asked.
     */
    public List<LimitUpdate> observe(LimitObservation heard, long now) {
        UpstreamId upstream = heard.upstream();
        LimitUpdate known = table.find(upstream);
        boolean newest = heard.basis().compareTo(known.revision()) >= 0;
        boolean counts = newest || known.isTightenedBy(heard.perSecond());
        if (known.matches(heard.perSecond()) || !counts) {
            return List.of();
        }
        if (heard.perSecond().isPresent()) {
            endings.remove(upstream);
            return List.of(publish(upstream, heard.perSecond(), false));
        }
        endings.put(upstream, new Ending(1, now));
        return List.of(publish(upstream, raised(known), true));
    }

    private LimitUpdate publish(UpstreamId upstream, OptionalDouble perSecond, boolean ending) {
        LimitUpdate word =
                new LimitUpdate(upstream, perSecond, ending, new LimitRevision(term, ++sequence));
        table.merge(word);
        return word;
    }

    private static OptionalDouble raised(LimitUpdate known) {
        return OptionalDouble.of(STEP_FACTOR * rate(known));
    }

    private static double rate(LimitUpdate word) {
        return Math.max(MIN_PER_SECOND, word.perSecond().orElse(0));
    }

    /** Takes in what a host wants, and returns the answers that are due; for the leader alone. */
    public List<PermitAnswer> request(PermitRequest want, long now) {
        reachableHosts.reported(want.host(), want.autonomous(), now);
        if (!table.find(want.upstream()).limited()) {
            return List.of();
        }
        PermitQueue queue = queue(want.upstream(), now);
        queue.consume(-want.returned(), now);
        return queue.request(want, now);
    }

    /** Returns what is due; for the leader alone, to be called several times in a tenth second. */
    public Decisions advance(long now) {
        List<LimitUpdate> words = new ArrayList<>();
        for (UpstreamId upstream : List.copyOf(endings.keySet())) {
            Ending ending = endings.get(upstream);
            if (now - ending.since() >= STEP_NANOS) {
                words.add(nextStep(upstream, ending, now));
            }
        }
        List<PermitAnswer> answers = new ArrayList<>();
        queues.keySet().removeIf(upstream -> !table.find(upstream).limited());
        for (UpstreamId upstream : queues.keySet()) {
            answers.addAll(queue(upstream, now).grant(now));
        }
        return new Decisions(words, answers);
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
