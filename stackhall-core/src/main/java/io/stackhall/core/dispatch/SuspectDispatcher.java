package io.stackhall.core.dispatch;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.quarantine.CrashCause;
import io.stackhall.core.quarantine.SuspectIsolation;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Picks instances for suspects: requests that may have crashed an instance, or that share a part of
 * their prompts with such requests. Suspects are isolated from each other, and all requests with
 * one suspected cause go to the same instance, so that it crashes as few instances as possible.
 */
public final class SuspectDispatcher {

    private final Dispatcher dispatcher;
    private final SuspectIsolation trials;

    /** Creates a dispatcher for suspects, which uses the given dispatcher of all other requests. */
    public SuspectDispatcher(Dispatcher dispatcher, SuspectIsolation trials) {
        this.dispatcher = dispatcher;
        this.trials = trials;
    }

    /**
     * Decides where a suspect goes. It waits while another request with the same cause is running
     * on this host, or while only instances that run another suspect could take it.
     *
     * @param cause the request, or the part of its prompt, that may have been the cause
     * @param allowed the instances that it may be sent to
     * @param late whether its answer can no longer meet the latency objective
     */
    public Choice choose(
            CrashCause cause, Need need, Predicate<UpstreamId> allowed, boolean late, long now) {
        if (trials.isRunning(cause)) {
            return new Choice.Apart();
        }
        Predicate<UpstreamId> free = allowed.and(id -> !trials.isOccupied(id));
        Choice choice = dispatcher.choose(need, free, late, Optional.of(cause), now);
        boolean blocked = !(choice instanceof Choice.Send) && trials.isAnyRunning();
        return blocked ? new Choice.Apart() : choice;
    }
}
