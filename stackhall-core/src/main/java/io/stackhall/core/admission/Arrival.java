package io.stackhall.core.admission;

import io.stackhall.core.config.Priority;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.routing.Reach;
import io.stackhall.core.routing.RoutingRequest;
import io.stackhall.core.routing.Target;
import java.util.List;
import java.util.Objects;

/**
 * A request that has arrived.
 *
 * @param id identifies it within this process
 * @param caller its customer
 * @param target the model or service that it is for
 * @param priority its priority
 * @param deadline the latest time at which its answer is useful, on the monotonic clock in
 *     nanoseconds
 * @param prefix digest of its prompt's prefix, or 0
 * @param repeatable whether it may run more than once
 * @param reach whether it may be sent to other zones
 */
public record Arrival(
        RequestId id,
        CustomerId caller,
        Target target,
        Priority priority,
        long deadline,
        long prefix,
        boolean repeatable,
        Reach reach) {

    /** Checks that no component is null. */
    public Arrival {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(priority, "priority");
        Objects.requireNonNull(reach, "reach");
    }

    /**
     * Returns the request as the router takes it.
     *
     * @param avoided upstreams on which it has failed
     */
    RoutingRequest routingRequest(List<UpstreamId> avoided) {
        return new RoutingRequest(target, priority, prefix, reach, avoided);
    }
}
