package io.stackhall.core.outcome;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.WorkId;
import java.util.Objects;
import java.util.Optional;

/**
 * One piece of deferred work that was accepted.
 *
 * @param id its name
 * @param caller whose it is
 * @param priority how urgent it is among the waiting work
 * @param request what to run
 * @param repeatable whether it may run more than once
 * @param progress how far it has come
 * @param holder the attempt that runs it, while one does
 * @param attempts how many attempts have started
 * @param losses how many of them were lost, so that it may have run
 * @param answer its answer, once there is one
 */
public record WorkItem(
        WorkId id,
        CustomerId caller,
        Priority priority,
        Request request,
        boolean repeatable,
        Progress progress,
        Optional<AttemptToken> holder,
        int attempts,
        int losses,
        Optional<StoredAnswer> answer) {

    /** Checks the parts. */
    public WorkItem {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(priority, "priority");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(progress, "progress");
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(answer, "answer");
    }

    /**
     * The request to run.
     *
     * @param target the path that the caller used
     * @param body the body, not changed afterwards
     */
    public record Request(String target, byte[] body) {}

    /** How far a piece of work has come. */
    public enum Progress {
        /** It waits to be run. */
        WAITING,
        /** An attempt holds it. */
        RUNNING,
        /** It has an answer. */
        ANSWERED,
        /** Whether it ran is not known, and it may not run again. */
        UNCERTAIN,
        /** Its caller withdrew it before it ran. */
        CANCELLED;

        /** Returns whether nothing more will happen to the work. */
        public boolean ended() {
            return this != WAITING && this != RUNNING;
        }
    }

    WorkItem withHolder(AttemptToken token) {
        return new WorkItem(
                id,
                caller,
                priority,
                request,
                repeatable,
                Progress.RUNNING,
                Optional.of(token),
                attempts + 1,
                losses,
                answer);
    }

    WorkItem withLostAttempt(Progress next) {
        return withProgress(next, losses + 1, Optional.empty());
    }

    WorkItem withProgress(Progress next, Optional<StoredAnswer> nextAnswer) {
        return withProgress(next, losses, nextAnswer);
    }

    private WorkItem withProgress(
            Progress next, int nextLosses, Optional<StoredAnswer> nextAnswer) {
        return new WorkItem(
                id,
                caller,
                priority,
                request,
                repeatable,
                next,
                Optional.empty(),
                attempts,
                nextLosses,
                nextAnswer);
    }
}
