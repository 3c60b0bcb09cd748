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
 * A request that asks to be served.
 *
 * @param id names it within this process
 * @param caller whose it is
 * @param target what it is for
 * @param priority how urgent it is
 * @param deadline when its answer is of no more use, on the monotonic clock in nanoseconds
 * @param prefix digest of its prompt's prefix, or 0
 * @param repeatable whether it may run more than once
 * @param reach how far it may be sent
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

    /** Checks the parts. */
    public Arrival {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(priority, "priority");
        Objects.requireNonNull(reach, "reach");
    }

    /** Returns what the router has to find an upstream for. */
    RoutingRequest routingRequest(List<UpstreamId> avoided) {
        return new RoutingRequest(target, priority, prefix, reach, avoided);
    }
}
