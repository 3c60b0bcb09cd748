package io.stackhall.server.callers;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Neighbours;
import io.stackhall.server.upstreams.UpstreamRequest;
import java.util.HashMap;
import java.util.Map;

/**
 * A request on its way out, to an upstream of this zone or to a host of another.
 *
 * @param request what goes to either
 * @param towardsHosts headers that only another zone's host gets
 */
record OutgoingRequest(UpstreamRequest request, Map<String, String> hostHeaders) {

    /** Copies the headers. */
    OutgoingRequest {
        hostHeaders = Map.copyOf(hostHeaders);
    }

    /** Returns the request as it goes to one of them, with the time that is left. */
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
