package io.stackhall.server.gateway;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.route.Route;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/** The attempts of one request so far, and the further attempts that its route permits. */
final class AttemptHistory {

    /**
     * Refusals for lack of an adapter after which it is no longer waited for. An adapter that was
     * ordered is loaded within some ten milliseconds, or not at all.
     */
    private static final int MAX_ADAPTER_REFUSALS = 2;

    /** Tunnels that do not come up after which no further one is tried. */
    private static final int MAX_TUNNEL_FAILURES = 2;

    private final Set<UpstreamId> sentTo = new HashSet<>();
    private final Set<UpstreamId> excluded = new HashSet<>();
    private int maxAttempts = 1;
    private boolean repeatable;
    private boolean resumable;
    private int sendCount;
    private int adapterRefusals;
    private int tunnelFailures;
    private boolean mayHaveRun;

    /** Applies the limits that the request's route sets. */
    void applyRoute(Route route) {
        maxAttempts = route.maxAttempts();
        repeatable = route.repeatable();
        resumable = route.resumable();
    }

    /**
     * Returns whether another instance may continue an interrupted attempt.
     *
     * @param begun whether the caller has received a part of a stream
     * @param atEvent whether that part ends with a complete event
     */
    boolean mayContinue(boolean begun, boolean atEvent) {
        boolean permitted = begun ? resumable && atEvent : repeatable;
        return permitted && hasAttemptsLeft();
    }

    /**
     * Records that the request is written to an instance. An instance that could not be reached
     * does not count as an attempt.
     */
    void recordSent(UpstreamId id) {
        sentTo.add(id);
        sendCount++;
    }

    /**
     * Records that an instance has reported that it did not run the request, which does not count
     * as an attempt.
     */
    void recordNotRun(UpstreamId id) {
        sentTo.remove(id);
    }

    /** Records that an instance has run the request, or may have. */
    void recordMayHaveRun() {
        mayHaveRun = true;
    }

    /** Returns whether any instance may have run the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Excludes an instance from further attempts. */
    void exclude(UpstreamId id) {
        excluded.add(id);
    }

    /** Counts a refusal for lack of an adapter, and returns whether another attempt makes sense. */
    boolean tryAcquireAdapterRetry() {
        return adapterRefusals++ < MAX_ADAPTER_REFUSALS;
    }

    /** Counts a tunnel that has not come up, and returns whether another one may be tried. */
    boolean tryAcquireTunnelRetry() {
        return tunnelFailures++ < MAX_TUNNEL_FAILURES;
    }

    /** Returns how often the request was written to an instance. */
    int sendCount() {
        return sendCount;
    }

    /** Returns whether the request may be sent to a further instance. */
    boolean hasAttemptsLeft() {
        return sentTo.size() < maxAttempts;
    }

    /**
     * Returns the instances that the request may be sent to: those that have received it and are
     * not excluded, and new ones while attempts are left.
     */
    Predicate<UpstreamId> allowedInstances() {
        boolean mayUseNew = hasAttemptsLeft();
        return id -> !excluded.contains(id) && (mayUseNew || sentTo.contains(id));
    }
}
