package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
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
import java.util.function.BiPredicate;

/** The evidence against possible causes of crashes, by cause and by crashed incarnation. */
final class EvidenceIndex {

    /**
     * Twenty-five instances that crash at once with eighty requests each, and as many parts of
     * prompts; the entries take about 2 MB.
     */
    private static final int MAX_CAUSES = 4000;

    private final Map<CrashCause, Evidence> evidenceByCause = new LinkedHashMap<>();
    private final Map<UpstreamId, Set<CrashCause>> causesByIncarnation = new HashMap<>();

    Optional<Evidence> find(CrashCause cause) {
        return Optional.ofNullable(evidenceByCause.get(cause));
    }

    /** Returns the evidence against a cause of which a crash is in this index. */
    Evidence get(CrashCause cause) {
        return find(cause).orElseThrow();
    }

    Evidence findOrCreate(CrashCause cause) {
        return evidenceByCause.computeIfAbsent(cause, key -> new Evidence());
    }

    /** Returns the causes with evidence, acquitted ones included. */
    Collection<CrashCause> causes() {
        return evidenceByCause.keySet();
    }

    /** Returns the possible causes of the crash of an incarnation. */
    Set<CrashCause> causesOf(UpstreamId incarnation) {
        return causesByIncarnation.getOrDefault(incarnation, Set.of());
    }

    /** Attributes a crash to its possible causes and returns whether any of it is new. */
    boolean add(Crash crash, long now) {
        boolean changed = false;
        for (Map.Entry<CrashCause, Presence> entry : crash.causes().entrySet()) {
            Evidence evidence = findOrCreate(entry.getKey());
            if (evidence.addCrash(crash.incarnation(), entry.getValue(), now)) {
                causesByIncarnation
                        .computeIfAbsent(crash.incarnation(), key -> new HashSet<>())
                        .add(entry.getKey());
                changed = true;
            }
        }
        evictOldest();
        return changed;
    }

    /** Clears a cause of crashes and returns whether that changes anything. */
    boolean acquit(Acquittal acquittal) {
        unlink(acquittal.cause(), acquittal.incarnations());
        boolean changed = findOrCreate(acquittal.cause()).acquit(acquittal.incarnations());
        evictOldest();
        return changed;
    }

    /** Returns all crashes that are attributed to a cause. */
    List<Crash> crashes() {
        List<Crash> all = new ArrayList<>();
        causesByIncarnation.forEach(
                (incarnation, causes) -> {
                    Map<CrashCause, Presence> present = new HashMap<>();
                    causes.forEach(cause -> present.put(cause, get(cause).presence(incarnation)));
                    all.add(new Crash(incarnation, present));
                });
        return all;
    }

    /** Removes the causes whose evidence matches a condition. */
    void removeIf(BiPredicate<CrashCause, Evidence> condition) {
        for (CrashCause cause : List.copyOf(evidenceByCause.keySet())) {
            if (condition.test(cause, evidenceByCause.get(cause))) {
                unlink(cause, evidenceByCause.remove(cause).incarnations());
            }
        }
    }

    int size() {
        return evidenceByCause.size();
    }

    /** Evicts the oldest entries beyond the bound, except for those that all hosts refuse. */
    void evictOldest() {
        Iterator<Map.Entry<CrashCause, Evidence>> eldest = evidenceByCause.entrySet().iterator();
        while (evidenceByCause.size() > MAX_CAUSES && eldest.hasNext()) {
            Map.Entry<CrashCause, Evidence> entry = eldest.next();
            if (!entry.getValue().sentenced()) {
                eldest.remove();
                unlink(entry.getKey(), entry.getValue().incarnations());
            }
        }
    }

    private void unlink(CrashCause cause, Collection<UpstreamId> incarnations) {
        for (UpstreamId incarnation : incarnations) {
            Set<CrashCause> causes = causesByIncarnation.get(incarnation);
            if (causes != null && causes.remove(cause) && causes.isEmpty()) {
                causesByIncarnation.remove(incarnation);
            }
        }
    }
}
