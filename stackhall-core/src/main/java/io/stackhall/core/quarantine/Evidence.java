package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.HashSet;
import java.util.Set;

/** What is held against one request. */
final class Evidence {

    private final Set<UpstreamId> lives = new HashSet<>();
    private final Set<UpstreamId> acquittedOf = new HashSet<>();
    private boolean sentenced;
    private long since;

    /** Returns whether this life is newly held against it. */
    boolean crashed(UpstreamId life, long now) {
        if (acquittedOf.contains(life) || !lives.add(life)) {
            return false;
        }
        since = now;
        return true;
    }

    /** Returns whether this has taken anything back. */
    boolean acquit(Set<UpstreamId> of) {
        boolean changed = acquittedOf.addAll(of);
        return lives.removeAll(of) || changed;
    }

    /** Returns whether the sentence is new here. */
    boolean sentence(long now) {
        if (sentenced) {
            return false;
        }
        sentenced = true;
        since = now;
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
    Set<UpstreamId> lives() {
        return lives;
    }

    /** Returns when something was last added, on the monotonic clock in nanoseconds. */
    long since() {
        return since;
    }
}
