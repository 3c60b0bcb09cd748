package io.stackhall.core.customer;

import java.time.Duration;

/** Whether a request may be run within its customer's limit. */
public sealed interface AllowanceVerdict {

    /** It may, and its cost is taken from the customer's allowance. */
    record Granted() implements AllowanceVerdict {}

    /**
     * It may not.
     *
     * @param retryAfter when the customer's allowance is expected to have room for it
     */
    record Denied(Duration retryAfter) implements AllowanceVerdict {}
}
