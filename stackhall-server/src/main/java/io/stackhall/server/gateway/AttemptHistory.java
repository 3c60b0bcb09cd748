package io.stackhall.server.gateway;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.route.Route;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/** Where one request has been sent, and so where it may still be sent. */
final class AttemptHistory {

    /** An adapter that was ordered arrives within some ten milliseconds, or not at all. */
    private static final int MAX_ADAPTER_REFUSALS = 2;

    private final Set<UpstreamId> sentTo = new HashSet<>();
    private final Set<UpstreamId> excluded = new HashSet<>();
    private int maxAttempts = 1;
    private boolean repeatable;
    private boolean resumable;
    private int sendCount;
    private int adapterRefusals;
    private boolean mayHaveRun;

    /** Takes in what a request's route allows. */
    void applyRoute(Route route) {
        maxAttempts = route.maxAttempts();
        repeatable = route.repeatable();
        resumable = route.resumable();
    }

    /**
     * Returns whether another instance may take up what broke off.
     *
     * @param begun whether the caller has got a part of a stream
     * @param atEvent whether that part ends with a whole event
     */
    boolean mayContinue(boolean begun, boolean atEvent) {
        boolean may = begun ? resumable && atEvent : repeatable;
        return may && hasAttemptsLeft();
    }

    /** Notes that its bytes are written to an instance; one that was not reached does not count. */
    void recordSent(UpstreamId id) {
        sentTo.add(id);
        sendCount++;
    }

    /** Notes that an instance says that it has not run it: that does not count as an attempt. */
    void recordNotRun(UpstreamId id) {
        sentTo.remove(id);
    }

    /** Notes that an instance has run it, or may have. */
    void recordMayHaveRun() {
        mayHaveRun = true;
    }

    /** Returns whether it may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Notes that an instance is not to be tried again. */
    void exclude(UpstreamId id) {
        excluded.add(id);
    }

    /** Returns whether an adapter that was refused once more is worth another try. */
    boolean tryAcquireAdapterRetry() {
        return adapterRefusals++ < MAX_ADAPTER_REFUSALS;
    }

    /** Returns how often its bytes were written. */
    int sendCount() {
        return sendCount;
    }

    /** Returns whether another instance may still get it. */
    boolean hasAttemptsLeft() {
        return sentTo.size() < maxAttempts;
    }

    /**
     * Returns which instances may get it: those that had it and were not given up, and new ones.
     */
    Predicate<UpstreamId> allowedInstances() {
        boolean more = hasAttemptsLeft();
        return id -> !excluded.contains(id) && (more || sentTo.contains(id));
    }
}
