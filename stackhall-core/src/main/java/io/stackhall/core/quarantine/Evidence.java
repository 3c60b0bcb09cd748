package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The crashes that are attributed to one possible cause, and its acquittals and sentence. */
final class Evidence {

    private final Map<UpstreamId, Presence> presences = new HashMap<>();
    private final Set<UpstreamId> acquittedIncarnations = new HashSet<>();
    private boolean sentenced;
    private long changedAt;

    /** Adds a crash and returns whether the report brings anything new. */
    boolean addCrash(UpstreamId incarnation, Presence presence, long now) {
        if (acquittedIncarnations.contains(incarnation)) {
            return false;
        }
        Presence before = presences.get(incarnation);
        Presence merged = before == null ? presence : before.merge(presence);
        if (merged.equals(before)) {
            return false;
        }
        presences.put(incarnation, merged);
        changedAt = now;
        return true;
    }

    /**
     * Clears the cause of crashes, and of its sentence if that rests on no other crashes; returns
     * whether that changes anything.
     */
    boolean acquit(Set<UpstreamId> cleared) {
        boolean added = acquittedIncarnations.addAll(cleared);
        boolean removed = presences.keySet().removeAll(cleared);
        if (removed && presences.isEmpty()) {
            sentenced = false;
        }
        return added || removed;
    }

    /** Condemns the cause and returns whether it was not condemned yet. */
    boolean sentence(long now) {
        if (sentenced) {
            return false;
        }
        sentenced = true;
        changedAt = now;
        return true;
    }

    /** Revokes the sentence that all hosts had agreed on. */
    void lift() {
        sentenced = false;
    }

    boolean sentenced() {
        return sentenced;
    }

    /** Returns the incarnations whose crashes are attributed to the cause. */
    Set<UpstreamId> incarnations() {
        return presences.keySet();
    }

    /**
     * Returns how the cause was present at the crash of an incarnation that is attributed to it.
     */
    Presence presence(UpstreamId incarnation) {
        return presences.get(incarnation);
    }

    /** Returns the last round of crashes, 0 without any. */
    int lastRound() {
        return presences.values().stream().mapToInt(Presence::round).max().orElse(0);
    }

    /** Returns the last position of the part in a prompt, 0 without any. */
    int lastPosition() {
        return presences.values().stream().mapToInt(Presence::position).max().orElse(0);
    }

    /** Returns when a crash or a sentence was last added, on the monotonic clock in nanoseconds. */
    long changedAt() {
        return changedAt;
    }
}
