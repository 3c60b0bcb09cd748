package io.stackhall.core.limit;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;

/**
 * What one host would send to an upstream that has a limit.
 *
 * @param alone requests that wait which no other upstream can serve now
 * @param spare whether a request could be sent that others may serve as well; granted only while
 *     nobody waits
 * @param askedAt when it asks, on its own clock
 * @param returned permits that it was granted and has not used; negative for requests that it has
 *     sent without one
 * @param unled whether it has begun to send without a keeper, for want of answers
 */
public record PermitRequest(
        HostId host,
        UpstreamId upstream,
        int exclusive,
        boolean optional,
        long requestedAt,
        int returned,
        boolean autonomous) {

    /** Checks the figures. */
    public PermitRequest {
        if (exclusive < 0) {
            throw new IllegalArgumentException("alone is " + exclusive);
        }
    }
}
