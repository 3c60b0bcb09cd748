package io.stackhall.server.callers;

import io.stackhall.core.admission.Refusal;
import io.stackhall.core.outcome.RequestOutcome;

/** What an {@link RequestExecution} came to. */
public sealed interface ExecutionResult {

    /** Whether the request was run. */
    RequestOutcome outcome();

    /** The sink has got the whole answer. */
    record Answered(int status, RequestOutcome outcome) implements ExecutionResult {}

    /** The sink has got nothing; the request is given up on. */
    record Refused(Refusal refusal, RequestOutcome outcome, int retryAfterSeconds)
            implements ExecutionResult {}

    /** The sink has got a part of the answer, and the rest cannot be had. */
    record Incomplete(String reason, RequestOutcome outcome) implements ExecutionResult {}

    /** The caller has gone before the end. */
    record CallerGone(RequestOutcome outcome) implements ExecutionResult {}
}
