package io.stackhall.core.customer;

import java.time.Duration;

/** Whether a request may run within its customer's limit. */
public sealed interface AllowanceVerdict {

    /** It may run, and its cost has been taken from the customer's allowance. */
    record Granted() implements AllowanceVerdict {}

    /**
     * It may not run.
     *
     * @param retryAfter when the customer's allowance is expected to have capacity for it
     */
    record Denied(Duration retryAfter) implements AllowanceVerdict {}
}
