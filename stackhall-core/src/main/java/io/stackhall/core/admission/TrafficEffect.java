package io.stackhall.core.admission;

import io.stackhall.core.id.RequestId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.outcome.RequestOutcome;

/** An action that a {@link TrafficScheduler} asks its driver to perform. */
public sealed interface TrafficEffect {

    /** Send the request to an upstream, or to another zone's host, at an address. */
    record Dispatch(RequestId id, UpstreamId upstream, String address) implements TrafficEffect {}

    /**
     * Refuse the request.
     *
     * @param id the request
     * @param refusal the reason
     * @param outcome whether it ran
     * @param retryAfterSeconds when the caller may retry
     */
    record Refuse(RequestId id, Refusal refusal, RequestOutcome outcome, int retryAfterSeconds)
            implements TrafficEffect {}
}
