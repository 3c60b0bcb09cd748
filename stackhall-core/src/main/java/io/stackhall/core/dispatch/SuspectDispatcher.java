package io.stackhall.core.dispatch;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.Trials;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Picks instances for requests that may have ended one: apart from each other, and each copy of one
 * at the same instance, so that it ends as few as can be.
 */
public final class SuspectDispatcher {

    private final Dispatcher dispatcher;
    private final Trials trials;

    /** Creates a dispatcher of suspects beside that of all other requests. */
    public SuspectDispatcher(Dispatcher dispatcher, Trials trials) {
        this.dispatcher = dispatcher;
        this.trials = trials;
    }

    /**
     * Decides where a suspect goes.
     *
     * @param allowed the instances that it may be sent to
     * @param late whether its answer can only be late
     */
    public Choice choose(
            RequestDigest request,
            Need need,
            Predicate<UpstreamId> allowed,
            boolean late,
            long now) {
        if (trials.runs(request)) {
            return new Choice.Apart();
        }
        Predicate<UpstreamId> free = allowed.and(id -> !trials.occupied(id));
        Choice choice = dispatcher.choose(need, free, late, Optional.of(request), now);
        boolean held = !(choice instanceof Choice.Send) && trials.any();
        return held ? new Choice.Apart() : choice;
    }
}
