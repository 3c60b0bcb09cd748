package io.stackhall.core.admission;

/** Why a request is refused. */
public enum Refusal {
    /** The maximum number of requests is waiting. */
    QUEUE_FULL,
    /** It cannot be answered within its deadline. */
    DEADLINE,
    /** No upstream of the zone runs the service or can hold the model. */
    UNREACHABLE,
    /** Its attempts failed and it may not be retried. */
    FAILED
}
