package io.stackhall.core.admission;

import io.stackhall.core.id.RequestId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.outcome.RequestOutcome;

/** What a {@link TrafficScheduler} asks its driver to do. */
public sealed interface TrafficEffect {

    /** Send the request to an upstream, or to another zone's host, at this address. */
    record Dispatch(RequestId id, UpstreamId upstream, String address) implements TrafficEffect {}

    /**
     * Give the request its final answer now.
     *
     * @param id the request
     * @param refusal why
     * @param outcome whether it ran
     * @param retryAfterSeconds when it is worth asking again
     */
    record Refuse(RequestId id, Refusal refusal, RequestOutcome outcome, int retryAfterSeconds)
            implements TrafficEffect {}
}
