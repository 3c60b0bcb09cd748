package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests that stopped at an instance which may have crashed, before a crash could be observed:
 * those whose connection broke while something still accepted connections at the address, and those
 * whose callers disconnected. The crash is confirmed when a later incarnation of the instance
 * announces itself, or when another request or host observes it.
 *
 * <p>A request whose answer ended with its connection may have crashed the instance as well, since
 * the connections of a process that crashes may end in good order. It counts only for a crash that
 * is observed right after: on a service whose answers all end so, it would otherwise be held
 * against each request of some seconds.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class UnconfirmedCrashes {

    /** A new incarnation announces itself within a few heartbeats. */
    private static final Duration RETENTION = Duration.ofSeconds(5);

    /**
     * As many broken connections as a network partition of a busy host causes; the oldest are
     * evicted.
     */
    private static final int MAX_INCARNATIONS = 500;

    /** Time within which a crash that ends connections is observed by one of them. */
    private static final Duration OBSERVATION_TIME = Duration.ofMillis(300);

    /** The oldest are evicted: of a crash, the answers that end last are the closest in time. */
    private static final int MAX_ENDED = 64;

    private final Map<UpstreamId, Interrupted> interruptedByIncarnation = new LinkedHashMap<>();
    private final Map<UpstreamId, Deque<Ended>> endedByIncarnation = new HashMap<>();

    private record Interrupted(Map<CrashCause, Presence> causes, long at) {
        void add(Map<CrashCause, Presence> others) {
            others.forEach((cause, presence) -> causes.merge(cause, presence, Presence::merge));
        }
    }

    private record Ended(Map<CrashCause, Presence> causes, long at) {
        boolean isExpired(long now) {
            return now - at > OBSERVATION_TIME.toNanos();
        }
    }

    /**
     * Records that a request has stopped at an instance which may have crashed.
     *
     * @param causes what of it may be the cause
     */
    public void recordInterrupted(
            UpstreamId incarnation, Map<CrashCause, Presence> causes, long now) {
        interruptedByIncarnation
                .computeIfAbsent(incarnation, key -> new Interrupted(new HashMap<>(), now))
                .add(causes);
        if (interruptedByIncarnation.size() > MAX_INCARNATIONS) {
            interruptedByIncarnation.remove(interruptedByIncarnation.keySet().iterator().next());
        }
    }

    /**
     * Records that the answer to a request has ended in good order with its connection.
     *
     * @param causes what of it may be the cause of a crash
     */
    public void recordEndedWithConnection(
            UpstreamId incarnation, Map<CrashCause, Presence> causes, long now) {
        Deque<Ended> ended =
                endedByIncarnation.computeIfAbsent(incarnation, key -> new ArrayDeque<>());
        ended.addLast(new Ended(Map.copyOf(causes), now));
        while (ended.size() > MAX_ENDED || ended.getFirst().isExpired(now)) {
            ended.removeFirst();
        }
    }

    /**
     * Removes and returns the crashes that an announced incarnation confirms: those of earlier
     * incarnations of the same instance.
     */
    public List<Crash> confirmedBy(UpstreamId incarnation, long now) {
        List<Crash> confirmed = new ArrayList<>();
        sweep(now);
        interruptedByIncarnation
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean earlier = incarnation.startedAfter(entry.getKey());
                            if (earlier) {
                                confirmed.add(new Crash(entry.getKey(), entry.getValue().causes()));
                            }
                            return earlier;
                        });
        return confirmed;
    }

    /**
     * Removes what was recorded for an incarnation that is known to have crashed, and returns its
     * crash; one without possible causes if nothing was recorded.
     */
    public Crash takeCrash(UpstreamId incarnation, long now) {
        sweep(now);
        Interrupted all = new Interrupted(new HashMap<>(), now);
        Interrupted interrupted = interruptedByIncarnation.remove(incarnation);
        if (interrupted != null) {
            all.add(interrupted.causes());
        }
        Deque<Ended> ended = endedByIncarnation.remove(incarnation);
        if (ended != null) {
            ended.forEach(one -> all.add(one.causes()));
        }
        return new Crash(incarnation, all.causes());
    }

    /** Removes entries that are too old to be confirmed. */
    public void sweep(long now) {
        interruptedByIncarnation
                .values()
                .removeIf(interrupted -> now - interrupted.at() > RETENTION.toNanos());
        endedByIncarnation
                .values()
                .removeIf(
                        ended -> {
                            ended.removeIf(one -> one.isExpired(now));
                            return ended.isEmpty();
                        });
    }
}
