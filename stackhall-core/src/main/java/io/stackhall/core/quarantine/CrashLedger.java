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
 * Which requests end the instances that run them, from what all hosts have seen.
 *
 * <p>Load pattern: a request ends each instance that begins to run it, together with everything
 * else that runs there, and its caller sends it again under new names to any host. Without memory
 * across tries and hosts, 30 lives of four instances ended within 8 s (a process test with three
 * entry hosts).
 *
 * <p>A life that ends is held once against every request that was under way there. What a request
 * shares with one life that ended it shares with many innocent ones. The second such life tells
 * them apart: whoever alone among those that were there has been at another end too has ended both.
 * Where several have, the third end decides. A run that ends without harm takes back what was held
 * against a request before.
 *
 * <p>Merging is commutative: hosts that have heard the same agree, in whatever order it came.
 *
 * <p>Not thread-safe: one thread uses it.
 */
public final class CrashLedger {

    /** The first end leaves a doubt among many, the second mostly none; a third is no chance. */
    private static final int CONDEMNING_CRASHES = 3;

    /** A caller who repeats a request does so within the minute for which callers wait at most. */
    private static final Duration SUSPICION_DURATION = Duration.ofMinutes(2);

    /**
     * An instance that ends is away for some ten seconds: tried once in ten minutes, a request that
     * still ends it costs less than a fiftieth of one instance.
     */
    private static final Duration SENTENCE_DURATION = Duration.ofMinutes(10);

    /** Fifty instances that end at once with eighty requests each; some two megabytes. */
    private static final int MAX_REQUESTS = 4000;

    private final Map<RequestDigest, Evidence> evidenceByRequest = new LinkedHashMap<>();
    private final Map<UpstreamId, Set<RequestDigest>> byIncarnation = new HashMap<>();

    /**
     * Notes that a life has ended by itself.
     *
     * @param now the monotonic clock, in nanoseconds
     * @return whether anything of it is new
     */
    public boolean recordCrash(Crash crash, long now) {
        boolean news = false;
        for (RequestDigest request : crash.requests()) {
            Evidence evidence = evidence(request);
            if (evidence.addCrash(crash.incarnation(), now)) {
                byIncarnation
                        .computeIfAbsent(crash.incarnation(), life -> new HashSet<>())
                        .add(request);
                news = true;
            }
        }
        evictOldest();
        return news;
    }

    /**
     * Notes that a request has run to an end without harm.
     *
     * @return what this takes back, if anything was held against it
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
     * Takes in what another host has taken back.
     *
     * @return whether it is new
     */
    public boolean applyAcquittal(Acquittal acquittal) {
        acquittal.incarnations().forEach(life -> removeFromIncarnation(life, acquittal.request()));
        boolean news = evidence(acquittal.request()).acquit(acquittal.incarnations());
        evictOldest();
        return news;
    }

    /**
     * Takes over what all hosts have agreed to refuse. What a host that lags behind does not name
     * is not taken back by that.
     *
     * @return the requests that are refused from now on
     */
    public List<RequestDigest> applySentences(Collection<RequestDigest> all, long now) {
        List<RequestDigest> news = new ArrayList<>();
        for (RequestDigest request : all) {
            if (evidence(request).sentence(now)) {
                news.add(request);
            }
        }
        evictOldest();
        return news;
    }

    /** Takes over what all hosts have agreed to refuse no more. */
    public void liftSentences(Collection<RequestDigest> all) {
        for (RequestDigest request : all) {
            Evidence evidence = evidenceByRequest.get(request);
            if (evidence != null) {
                evidence.lift();
            }
        }
    }

    /** Returns how a request stands. */
    public Standing standing(RequestDigest request, long now) {
        Evidence evidence = evidenceByRequest.get(request);
        if (evidence == null) {
            return new Standing.Clear();
        }
        Duration age = Duration.ofNanos(now - evidence.changedAt());
        boolean certain = isConvicted(request, evidence);
        if (certain && age.compareTo(SENTENCE_DURATION) < 0) {
            return new Standing.Condemned(SENTENCE_DURATION.minus(age));
        }
        Duration counts = certain ? SENTENCE_DURATION.multipliedBy(2) : SUSPICION_DURATION;
        boolean held = certain || !evidence.incarnations().isEmpty();
        return held && age.compareTo(counts) < 0
                ? new Standing.Suspect(evidence.incarnations().size())
                : new Standing.Clear();
    }

    /** Returns the requests that are refused now. */
    public List<RequestDigest> condemned(long now) {
        return evidenceByRequest.keySet().stream()
                .filter(request -> standing(request, now) instanceof Standing.Condemned)
                .toList();
    }

    /** Returns the lives that are held against a request. */
    public Set<UpstreamId> incarnations(RequestDigest request) {
        Evidence evidence = evidenceByRequest.get(request);
        return evidence == null ? Set.of() : Set.copyOf(evidence.incarnations());
    }

    /** Returns the ends of lives that are held against requests, for a host that knows none. */
    public List<Crash> crashes() {
        List<Crash> all = new ArrayList<>();
        byIncarnation.forEach((life, those) -> all.add(new Crash(life, those)));
        return all;
    }

    /** Forgets what no longer counts. */
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
                        .forEach(life -> removeFromIncarnation(life, entry.getKey()));
            }
        }
    }

    /** Returns how many requests something is or was held against. */
    public int size() {
        return evidenceByRequest.size();
    }

    private boolean isConvicted(RequestDigest request, Evidence evidence) {
        if (evidence.sentenced() || evidence.incarnations().size() >= CONDEMNING_CRASHES) {
            return true;
        }
        return evidence.incarnations().size() > 1
                && evidence.incarnations().stream()
                        .anyMatch(life -> isOnlyRepeatedCandidate(request, life));
    }

    /** Returns whether nobody else who was at the end of a life was at another one too. */
    private boolean isOnlyRepeatedCandidate(RequestDigest request, UpstreamId life) {
        return byIncarnation.getOrDefault(life, Set.of()).stream()
                .noneMatch(
                        other ->
                                !other.equals(request)
                                        && evidenceByRequest.get(other).incarnations().size() > 1);
    }

    private Evidence evidence(RequestDigest request) {
        return evidenceByRequest.computeIfAbsent(request, key -> new Evidence());
    }

    private void removeFromIncarnation(UpstreamId life, RequestDigest request) {
        Set<RequestDigest> those = byIncarnation.get(life);
        if (those != null && those.remove(request) && those.isEmpty()) {
            byIncarnation.remove(life);
        }
    }

    /** What was noted first gives way, but for requests that all hosts have agreed to refuse. */
    private void evictOldest() {
        Iterator<Map.Entry<RequestDigest, Evidence>> eldest =
                evidenceByRequest.entrySet().iterator();
        while (evidenceByRequest.size() > MAX_REQUESTS && eldest.hasNext()) {
            Map.Entry<RequestDigest, Evidence> entry = eldest.next();
            if (!entry.getValue().sentenced()) {
                eldest.remove();
                entry.getValue()
                        .incarnations()
                        .forEach(life -> removeFromIncarnation(life, entry.getKey()));
            }
        }
    }
}
