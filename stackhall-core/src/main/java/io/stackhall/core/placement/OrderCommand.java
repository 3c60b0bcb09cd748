package io.stackhall.core.placement;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Artifact;

/** A command that changes an {@link OrderLedger}. */
public sealed interface OrderCommand {

    /**
     * Records the intent to issue an order.
     *
     * @param highestSeen the highest fencing number that any upstream has reported
     */
    record Intend(
            UpstreamId upstream,
            long incarnation,
            Order.Kind kind,
            Artifact artifact,
            long memoryMib,
            long highestSeen)
            implements OrderCommand {}

    /**
     * Closes an order whose outcome a report has shown.
     *
     * @param number the fencing number of the order
     * @param echo whether a copy of the order may still be in transit
     */
    record Close(long number, boolean echo) implements OrderCommand {}

    /** Removes a closed order of which no copy can arrive or take effect any more. */
    record ForgetEcho(long number) implements OrderCommand {}
}
