package io.stackhall.core.routing;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.UpstreamId;
import java.util.List;

/**
 * A request as the router needs it.
 *
 * @param target the model or service that it is for
 * @param priority its priority
 * @param prefix digest of its prompt's prefix, or 0
 * @param reach whether it may be sent to other zones
 * @param avoided upstreams on which it has failed
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
