package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Determines which requests, and which parts of prompts, crash the instances that run them, from
 * the reports of all hosts.
 *
 * <p>Load pattern: a request crashes each instance that begins to run it, together with everything
 * else that runs there, and its caller sends it again under a new id to any host; or different
 * requests do, which share a part of their prompts. Without a memory across attempts and hosts, 30
 * incarnations of four instances crashed within 8 s (a process test with three entry hosts).
 *
 * <p>Each crash counts once against each possible cause that was in progress on the instance. One
 * crash does not distinguish the cause from what was beside it; {@link Conviction} tells what does.
 * A run that ends without a crash clears a cause of the crashes before it.
 *
 * <p>Merging is commutative: hosts that have received the same reports agree, in whatever order
 * these arrived.
 *
 * <p>Times named {@code now} are on the monotonic clock, in nanoseconds. Not thread-safe: one
 * thread uses it.
 */
public final class CrashLedger {

    /**
     * A caller that repeats a request does so within a minute, since callers wait no longer than
     * that.
     */
    private static final Duration SUSPICION_DURATION = Duration.ofMinutes(2);

    /**
     * A crashed instance is unavailable for about 10 s. A cause that still crashes instances and is
     * tried once in ten minutes costs less than a fiftieth of one instance.
     */
    private static final Duration SENTENCE_DURATION = Duration.ofMinutes(10);

    /**
     * Time over which hosts spread the ends of a sentence. The first of 95 hosts has tried a cause
     * and has reported the crash before the next one tries it, mostly.
     */
    private static final Duration EXPIRY_SPREAD = Duration.ofSeconds(100);

    private final Duration sentenceDuration;
    private final EvidenceIndex index = new EvidenceIndex();
    private final Conviction conviction = new Conviction(index);
    private final ProvenParts proven = new ProvenParts();

    /** Creates an empty ledger whose sentences expire as late as those of any host. */
    public CrashLedger() {
        this(SENTENCE_DURATION);
    }

    private CrashLedger(Duration sentenceDuration) {
        this.sentenceDuration = sentenceDuration;
    }

    /**
     * Returns an empty ledger of a host that sends requests. Its sentences expire at a time of its
     * own, so that one host tries a cause again instead of all at once.
     */
    public static CrashLedger ofSender(RandomGenerator random) {
        long earlier = Math.round(random.nextDouble() * EXPIRY_SPREAD.toNanos());
        return new CrashLedger(SENTENCE_DURATION.minusNanos(earlier));
    }

    /** Records that a request is sent to an instance. */
    public CrashExposure expose(RequestFingerprint fingerprint, long now) {
        Map<PromptPartDigest, Integer> rounds = new LinkedHashMap<>();
        for (PromptPartDigest part : fingerprint.parts()) {
            rounds.put(part, nextRound(part));
        }
        return new CrashExposure(fingerprint, rounds, now);
    }

    /**
     * Returns the possible causes of a crash that an attempt brings: the request, and the parts of
     * its prompt on which this host has had no whole answer lately.
     */
    public Map<CrashCause, Presence> possibleCauses(CrashExposure exposure, long now) {
        Map<CrashCause, Presence> causes = new HashMap<>();
        causes.put(exposure.fingerprint().request(), Presence.OF_REQUEST);
        if (exposure.mayPartsCrash(now)) {
            int position = 0;
            for (PromptPartDigest part : exposure.fingerprint().parts()) {
                position++;
                if (!proven.contains(part, now)) {
                    // The part may have been acquitted since the request was sent.
                    int round = Math.min(exposure.round(part), nextRound(part));
                    causes.put(part, new Presence(round, position));
                }
            }
        }
        return causes;
    }

    private int nextRound(PromptPartDigest part) {
        return 1 + index.find(part).map(Evidence::lastRound).orElse(0);
    }

    /**
     * Records a crash.
     *
     * @return whether any part of the report is new
     */
    public boolean recordCrash(Crash crash, long now) {
        return index.add(crash, now);
    }

    /**
     * Clears the parts in a report of another host on which this host has had a whole answer
     * lately.
     *
     * @return the acquittals to send to other hosts
     */
    public List<Acquittal> vouch(Crash crash, long now) {
        List<Acquittal> acquittals = new ArrayList<>();
        for (CrashCause cause : crash.causes().keySet()) {
            if (cause instanceof PromptPartDigest part && proven.contains(part, now)) {
                acquit(part).ifPresent(acquittals::add);
            }
        }
        return acquittals;
    }

    /**
     * Records that a request has been answered whole, without a crash.
     *
     * @return the acquittals to send to other hosts, of those causes to which crashes were
     *     attributed
     */
    public List<Acquittal> recordHarmlessEnd(RequestFingerprint fingerprint, long now) {
        List<Acquittal> acquittals = new ArrayList<>();
        for (CrashCause cause : fingerprint.causes()) {
            if (cause instanceof PromptPartDigest part) {
                proven.add(part, now);
            }
            acquit(cause).ifPresent(acquittals::add);
        }
        return acquittals;
    }

    /**
     * Clears a cause of the crashes that are attributed to it.
     *
     * @return the acquittal to send to other hosts; empty if there are no such crashes
     */
    public Optional<Acquittal> acquit(CrashCause cause) {
        Set<UpstreamId> incarnations = incarnations(cause);
        if (incarnations.isEmpty()) {
            return Optional.empty();
        }
        Acquittal acquittal = new Acquittal(cause, incarnations);
        applyAcquittal(acquittal);
        return Optional.of(acquittal);
    }

    /**
     * Applies an acquittal, from this host or another one.
     *
     * @return whether it changes anything here
     */
    public boolean applyAcquittal(Acquittal acquittal) {
        return index.acquit(acquittal);
    }

    /**
     * Adds what all hosts have agreed to refuse. A cause that is missing from the collection stays
     * refused, since the host that sent it may lag behind.
     *
     * @return the causes that are newly refused
     */
    public List<CrashCause> applySentences(Collection<? extends CrashCause> all, long now) {
        List<CrashCause> added = new ArrayList<>();
        for (CrashCause cause : all) {
            if (index.findOrCreate(cause).sentence(now)) {
                added.add(cause);
            }
        }
        index.evictOldest();
        return added;
    }

    /** Revokes sentences that all hosts have agreed to lift. */
    public void liftSentences(Collection<? extends CrashCause> all) {
        all.forEach(cause -> index.find(cause).ifPresent(Evidence::lift));
    }

    /** Returns the standing of a request: the worst one of it and the parts of its prompt. */
    public Standing standing(RequestFingerprint fingerprint, long now) {
        Standing worst = new Standing.Clear();
        for (CrashCause cause : fingerprint.causes()) {
            Standing standing = standing(cause, now);
            if (standing.compareTo(worst) > 0) {
                worst = standing;
            }
        }
        return worst;
    }

    /** Returns the standing of one possible cause. */
    public Standing standing(CrashCause cause, long now) {
        Optional<Evidence> found = index.find(cause);
        if (found.isEmpty()) {
            return new Standing.Clear();
        }
        Evidence evidence = found.get();
        Duration age = Duration.ofNanos(now - evidence.changedAt());
        boolean convicted = conviction.isConvicted(cause, evidence);
        if (convicted && age.compareTo(sentenceDuration) < 0) {
            return new Standing.Condemned(cause, sentenceDuration.minus(age));
        }
        Duration lasting = convicted ? sentenceDuration.multipliedBy(2) : SUSPICION_DURATION;
        boolean attributed = convicted || !evidence.incarnations().isEmpty();
        return attributed && age.compareTo(lasting) < 0
                ? new Standing.Suspect(cause, evidence.incarnations().size())
                : new Standing.Clear();
    }

    /** Returns the causes that are refused at a moment. */
    public List<CrashCause> condemned(long now) {
        return index.causes().stream()
                .filter(cause -> standing(cause, now) instanceof Standing.Condemned)
                .toList();
    }

    /** Returns the incarnations whose crashes are attributed to a cause. */
    public Set<UpstreamId> incarnations(CrashCause cause) {
        return index.find(cause).map(Evidence::incarnations).map(Set::copyOf).orElse(Set.of());
    }

    /** Returns the crashes that are attributed to causes, to bring another host up to date. */
    public List<Crash> crashes() {
        return index.crashes();
    }

    /** Removes entries that no longer affect any standing. */
    public void sweep(long now) {
        index.removeIf(
                (cause, evidence) ->
                        Duration.ofNanos(now - evidence.changedAt())
                                                .compareTo(sentenceDuration.multipliedBy(2))
                                        > 0
                                && standing(cause, now) instanceof Standing.Clear);
    }

    /** Returns the number of causes with an entry, acquitted ones included. */
    public int size() {
        return index.size();
    }
}
