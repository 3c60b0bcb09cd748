package io.stackhall.core.routing;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.UpstreamId;
import java.util.List;

/**
 * What the router has to find an upstream for.
 *
 * @param target what the request is for
 * @param priority how urgent it is
 * @param prefix digest of its prompt's prefix, or 0
 * @param reach how far it may be sent
 * @param avoided upstreams that have failed it
 */
public record RoutingRequest(
        Target target, Priority priority, long prefix, Reach reach, List<UpstreamId> avoided) {

    /** Copies the list. */
    public RoutingRequest {
        avoided = List.copyOf(avoided);
    }

    /** Returns the same request without upstreams to avoid. */
    public RoutingRequest avoidingNone() {
        return new RoutingRequest(target, priority, prefix, reach, List.of());
    }
}
