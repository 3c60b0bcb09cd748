package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.HashSet;
import java.util.Set;

/** What is held against one request. */
final class Evidence {

    private final Set<UpstreamId> incarnations = new HashSet<>();
    private final Set<UpstreamId> acquittedIncarnations = new HashSet<>();
    private boolean sentenced;
    private long changedAt;

    /** Returns whether this life is newly held against it. */
    boolean addCrash(UpstreamId life, long now) {
        if (acquittedIncarnations.contains(life) || !incarnations.add(life)) {
            return false;
        }
        changedAt = now;
        return true;
    }

    /** Returns whether this has taken anything back. */
    boolean acquit(Set<UpstreamId> of) {
        boolean changed = acquittedIncarnations.addAll(of);
        return incarnations.removeAll(of) || changed;
    }

    /** Returns whether the sentence is new here. */
    boolean sentence(long now) {
        if (sentenced) {
            return false;
        }
        sentenced = true;
        changedAt = now;
        return true;
    }

    /** Takes the sentence of all hosts back. */
    void lift() {
        sentenced = false;
    }

    boolean sentenced() {
        return sentenced;
    }

    /** Returns the lives that ended under it. */
    Set<UpstreamId> incarnations() {
        return incarnations;
    }

    /** Returns when something was last added, on the monotonic clock in nanoseconds. */
    long changedAt() {
        return changedAt;
    }
}
