package io.stackhall.server.callers;

import io.stackhall.core.admission.Refusal;
import io.stackhall.core.outcome.RequestOutcome;

/** The result of a {@link RequestExecution}. */
public sealed interface ExecutionResult {

    /** Returns whether the request has run. */
    RequestOutcome outcome();

    /** The sink has received the complete answer. */
    record Answered(int status, RequestOutcome outcome) implements ExecutionResult {}

    /** The sink has received nothing; the request is refused. */
    record Refused(Refusal refusal, RequestOutcome outcome, int retryAfterSeconds)
            implements ExecutionResult {}

    /**
     * The upstream has answered, but its answer cannot be delivered completely. The sink has
     * received a part of it, or nothing if it is too large.
     */
    record Incomplete(String reason, RequestOutcome outcome) implements ExecutionResult {}

    /** The caller has disconnected before the end of the answer. */
    record CallerGone(RequestOutcome outcome) implements ExecutionResult {}
}
