package io.stackhall.core.outcome;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.WorkId;
import java.util.Objects;
import java.util.Optional;

/**
 * An accepted item of deferred work.
 *
 * @param id its id
 * @param caller its customer
 * @param priority its priority among the waiting work
 * @param request the request to run
 * @param repeatable whether it may run more than once
 * @param progress its progress
 * @param holder the attempt that runs it, if any
 * @param attempts the number of attempts started
 * @param losses the number of attempts that were lost, which may have run it
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

    /** Checks that no component is null. */
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
     * @param body the body; must not be modified
     */
    public record Request(String target, byte[] body) {}

    /** The progress of a work item. */
    public enum Progress {
        /** It waits to be run. */
        WAITING,
        /** An attempt holds it. */
        RUNNING,
        /** It has an answer. */
        ANSWERED,
        /** It is unknown whether it ran, and it may not run again. */
        UNCERTAIN,
        /** Its caller cancelled it before it ran. */
        CANCELLED;

        /** Returns whether the state is final. */
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
