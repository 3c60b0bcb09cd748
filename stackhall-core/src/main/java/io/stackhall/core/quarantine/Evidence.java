package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.HashSet;
import java.util.Set;

/** The crashes that are attributed to one request, and its acquittals and sentence. */
final class Evidence {

    private final Set<UpstreamId> incarnations = new HashSet<>();
    private final Set<UpstreamId> acquittedIncarnations = new HashSet<>();
    private boolean sentenced;
    private long changedAt;

    /** Adds a crash and returns whether it is newly attributed to the request. */
    boolean addCrash(UpstreamId incarnation, long now) {
        if (acquittedIncarnations.contains(incarnation) || !incarnations.add(incarnation)) {
            return false;
        }
        changedAt = now;
        return true;
    }

    /** Clears the request of crashes and returns whether that changes anything. */
    boolean acquit(Set<UpstreamId> cleared) {
        boolean changed = acquittedIncarnations.addAll(cleared);
        return incarnations.removeAll(cleared) || changed;
    }

    /** Condemns the request and returns whether it was not condemned yet. */
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

    /** Returns the incarnations whose crashes are attributed to the request. */
    Set<UpstreamId> incarnations() {
        return incarnations;
    }

    /** Returns when a crash or a sentence was last added, on the monotonic clock in nanoseconds. */
    long changedAt() {
        return changedAt;
    }
}
