package io.stackhall.core.limit;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;

/**
 * The requests that one host would send to an upstream with a limit.
 *
 * @param exclusive number of waiting requests that no other upstream can serve now
 * @param optional whether a request could be sent that other upstreams may serve as well; granted
 *     only while the queue is empty
 * @param requestedAt when the host sends this, on its own clock
 * @param returned number of permits that it was granted and has not used; negative for requests
 *     sent without a permit
 * @param autonomous whether it has begun to send its share without permits, for lack of answers
 */
public record PermitRequest(
        HostId host,
        UpstreamId upstream,
        int exclusive,
        boolean optional,
        long requestedAt,
        int returned,
        boolean autonomous) {

    /** Validates the components. */
    public PermitRequest {
        if (exclusive < 0) {
            throw new IllegalArgumentException("exclusive is " + exclusive);
        }
    }
}
