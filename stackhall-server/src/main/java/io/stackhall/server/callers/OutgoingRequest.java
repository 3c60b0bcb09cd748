package io.stackhall.server.callers;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Neighbours;
import io.stackhall.server.upstreams.UpstreamRequest;
import java.util.HashMap;
import java.util.Map;

/**
 * A request to be sent to an upstream of this zone or to a host of another zone.
 *
 * @param request the request without its deadline
 * @param hostHeaders headers that only a host of another zone receives
 */
record OutgoingRequest(UpstreamRequest request, Map<String, String> hostHeaders) {

    /** Copies the headers. */
    OutgoingRequest {
        hostHeaders = Map.copyOf(hostHeaders);
    }

    /**
     * Returns the request as it is sent to an upstream or to another zone's host.
     *
     * @param deadlineMillis the time that remains until the deadline
     */
    UpstreamRequest forUpstream(UpstreamId upstream, long deadlineMillis) {
        Map<String, String> headers = new HashMap<>(request.headers());
        headers.put(RequestReader.DEADLINE_HEADER, Long.toString(deadlineMillis));
        if (Neighbours.isNeighbour(upstream)) {
            headers.putAll(hostHeaders);
        }
        return new UpstreamRequest(
                request.id(),
                request.method(),
                request.path(),
                headers,
                request.body(),
                request.shared());
    }
}
