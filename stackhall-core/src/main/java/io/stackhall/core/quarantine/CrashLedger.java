package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Determines which requests crash the instances that run them, from the reports of all hosts.
 *
 * <p>Load pattern: a request crashes each instance that begins to run it, together with everything
 * else that runs there, and its caller sends it again under a new id to any host. Without a memory
 * across attempts and hosts, 30 incarnations of four instances crashed within 8 s (a process test
 * with three entry hosts).
 *
 * <p>Each crash counts once against every request that was in progress on the instance. One crash
 * does not distinguish the cause from the innocent requests beside it. The second one does: if
 * exactly one of the requests of a crash was also in another crash, that request caused both. If
 * several were, the third crash decides. A run that ends without a crash clears a request of the
 * crashes before it.
 *
 * <p>Merging is commutative: hosts that have received the same reports agree, in whatever order
 * these arrived.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class CrashLedger {

    /**
     * Crashes that condemn a request without comparison to others. One crash has many possible
     * causes, and two mostly have one; three with the same request are no coincidence.
     */
    private static final int CONDEMNING_CRASHES = 3;

    /**
     * A caller that repeats a request does so within a minute, since callers wait no longer than
     * that.
     */
    private static final Duration SUSPICION_DURATION = Duration.ofMinutes(2);

    /**
     * A crashed instance is unavailable for about 10 s. A request that still crashes instances and
     * is tried once in ten minutes costs less than a fiftieth of one instance.
     */
    private static final Duration SENTENCE_DURATION = Duration.ofMinutes(10);

    /**
     * Fifty instances that crash at once with eighty requests each; the entries take about 2 MB.
     */
    private static final int MAX_REQUESTS = 4000;

    private final Map<RequestDigest, Evidence> evidenceByRequest = new LinkedHashMap<>();
    private final Map<UpstreamId, Set<RequestDigest>> byIncarnation = new HashMap<>();

    /**
     * Records a crash.
     *
     * @param now the monotonic clock, in nanoseconds
     * @return whether any part of the report is new
     */
    public boolean recordCrash(Crash crash, long now) {
        boolean changed = false;
        for (RequestDigest request : crash.requests()) {
            Evidence evidence = evidence(request);
            if (evidence.addCrash(crash.incarnation(), now)) {
                byIncarnation
                        .computeIfAbsent(crash.incarnation(), incarnation -> new HashSet<>())
                        .add(request);
                changed = true;
            }
        }
        evictOldest();
        return changed;
    }

    /**
     * Records that a request has ended without a crash.
     *
     * @return the acquittal to send to other hosts, if crashes were attributed to the request
     */
    public Optional<Acquittal> recordHarmlessEnd(RequestDigest request) {
        Evidence evidence = evidenceByRequest.get(request);
        if (evidence == null || evidence.incarnations().isEmpty()) {
            return Optional.empty();
        }
        Acquittal acquittal = new Acquittal(request, evidence.incarnations());
        applyAcquittal(acquittal);
        return Optional.of(acquittal);
    }

    /**
     * Applies an acquittal, from this host or another one.
     *
     * @return whether it changes anything here
     */
    public boolean applyAcquittal(Acquittal acquittal) {
        acquittal
                .incarnations()
                .forEach(incarnation -> removeFromIncarnation(incarnation, acquittal.request()));
        boolean changed = evidence(acquittal.request()).acquit(acquittal.incarnations());
        evictOldest();
        return changed;
    }

    /**
     * Adds the requests that all hosts have agreed to refuse. A request that is missing from the
     * collection stays refused, since the host that sent it may lag behind.
     *
     * @param now the monotonic clock, in nanoseconds
     * @return the requests that are newly refused
     */
    public List<RequestDigest> applySentences(Collection<RequestDigest> all, long now) {
        List<RequestDigest> added = new ArrayList<>();
        for (RequestDigest request : all) {
            if (evidence(request).sentence(now)) {
                added.add(request);
            }
        }
        evictOldest();
        return added;
    }

    /** Revokes sentences that all hosts have agreed to lift. */
    public void liftSentences(Collection<RequestDigest> all) {
        for (RequestDigest request : all) {
            Evidence evidence = evidenceByRequest.get(request);
            if (evidence != null) {
                evidence.lift();
            }
        }
    }

    /**
     * Returns the standing of a request.
     *
     * @param now the monotonic clock, in nanoseconds
     */
    public Standing standing(RequestDigest request, long now) {
        Evidence evidence = evidenceByRequest.get(request);
        if (evidence == null) {
            return new Standing.Clear();
        }
        Duration age = Duration.ofNanos(now - evidence.changedAt());
        boolean convicted = isConvicted(request, evidence);
        if (convicted && age.compareTo(SENTENCE_DURATION) < 0) {
            return new Standing.Condemned(SENTENCE_DURATION.minus(age));
        }
        Duration lasting = convicted ? SENTENCE_DURATION.multipliedBy(2) : SUSPICION_DURATION;
        boolean attributed = convicted || !evidence.incarnations().isEmpty();
        return attributed && age.compareTo(lasting) < 0
                ? new Standing.Suspect(evidence.incarnations().size())
                : new Standing.Clear();
    }

    /** Returns the requests that are refused at a moment. */
    public List<RequestDigest> condemned(long now) {
        return evidenceByRequest.keySet().stream()
                .filter(request -> standing(request, now) instanceof Standing.Condemned)
                .toList();
    }

    /** Returns the incarnations whose crashes are attributed to a request. */
    public Set<UpstreamId> incarnations(RequestDigest request) {
        Evidence evidence = evidenceByRequest.get(request);
        return evidence == null ? Set.of() : Set.copyOf(evidence.incarnations());
    }

    /** Returns the crashes that are attributed to requests, to bring another host up to date. */
    public List<Crash> crashes() {
        List<Crash> all = new ArrayList<>();
        byIncarnation.forEach((incarnation, requests) -> all.add(new Crash(incarnation, requests)));
        return all;
    }

    /** Removes entries that no longer affect the standing of a request. */
    public void sweep(long now) {
        for (Iterator<Map.Entry<RequestDigest, Evidence>> all =
                        evidenceByRequest.entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<RequestDigest, Evidence> entry = all.next();
            Duration age = Duration.ofNanos(now - entry.getValue().changedAt());
            if (age.compareTo(SENTENCE_DURATION.multipliedBy(2)) > 0
                    && standing(entry.getKey(), now) instanceof Standing.Clear) {
                all.remove();
                entry.getValue()
                        .incarnations()
                        .forEach(incarnation -> removeFromIncarnation(incarnation, entry.getKey()));
            }
        }
    }

    /** Returns the number of requests with an entry, acquitted ones included. */
    public int size() {
        return evidenceByRequest.size();
    }

    private boolean isConvicted(RequestDigest request, Evidence evidence) {
        if (evidence.sentenced() || evidence.incarnations().size() >= CONDEMNING_CRASHES) {
            return true;
        }
        return evidence.incarnations().size() > 1
                && evidence.incarnations().stream()
                        .anyMatch(incarnation -> isOnlyRepeatedCandidate(request, incarnation));
    }

    /** Returns whether no other request of this crash was in a second crash. */
    private boolean isOnlyRepeatedCandidate(RequestDigest request, UpstreamId incarnation) {
        return byIncarnation.getOrDefault(incarnation, Set.of()).stream()
                .noneMatch(
                        other ->
                                !other.equals(request)
                                        && evidenceByRequest.get(other).incarnations().size() > 1);
    }

    private Evidence evidence(RequestDigest request) {
        return evidenceByRequest.computeIfAbsent(request, key -> new Evidence());
    }

    private void removeFromIncarnation(UpstreamId incarnation, RequestDigest request) {
        Set<RequestDigest> requests = byIncarnation.get(incarnation);
        if (requests != null && requests.remove(request) && requests.isEmpty()) {
            byIncarnation.remove(incarnation);
        }
    }

    /**
     * Evicts the oldest entries beyond the bound, except for requests that all hosts have agreed to
     * refuse.
     */
    private void evictOldest() {
        Iterator<Map.Entry<RequestDigest, Evidence>> eldest =
                evidenceByRequest.entrySet().iterator();
        while (evidenceByRequest.size() > MAX_REQUESTS && eldest.hasNext()) {
            Map.Entry<RequestDigest, Evidence> entry = eldest.next();
            if (!entry.getValue().sentenced()) {
                eldest.remove();
                entry.getValue()
                        .incarnations()
                        .forEach(incarnation -> removeFromIncarnation(incarnation, entry.getKey()));
            }
        }
    }
}
