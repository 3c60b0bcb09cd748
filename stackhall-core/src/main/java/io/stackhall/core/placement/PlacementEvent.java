package io.stackhall.core.placement;

import io.stackhall.core.config.Configuration;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import java.util.Map;

/** An event that a {@link PlacementCoordinator} processes. */
public sealed interface PlacementEvent {

    /** This host has become leader of the zone's group. */
    record Led(OrderLedger.State orders) implements PlacementEvent {}

    /** This host has ceased to lead. */
    record Deposed() implements PlacementEvent {}

    /** The group has applied a change of the ledger. */
    record LedgerChanged(OrderLedger.State orders) implements PlacementEvent {}

    /** The group did not accept a proposal. */
    record ProposalFailed(OrderCommand command) implements PlacementEvent {}

    /** An upstream has sent an announcement. */
    record Reported(Announcement announcement) implements PlacementEvent {}

    /** An upstream has sent no announcement for too long. */
    record UpstreamLost(UpstreamId upstream) implements PlacementEvent {}

    /** A new configuration is in force. */
    record Configured(Configuration configuration) implements PlacementEvent {}

    /** An entry host has reported its arrived and waiting requests, by model. */
    record Demanded(HostId host, Map<ModelId, Integer> arrivals, Map<ModelId, Integer> waiting)
            implements PlacementEvent {}

    /**
     * An upstream has answered an order.
     *
     * @param number the fencing number of the order
     * @param incarnation the incarnation that answered
     * @param sequence the sequence number of the first announcement of that incarnation that shows
     *     the effect
     * @param carriedOut whether the order was carried out
     */
    record Answered(long number, long incarnation, long sequence, boolean carriedOut)
            implements PlacementEvent {}

    /**
     * An order got no answer.
     *
     * @param number the fencing number of the order
     * @param sent whether any byte of it may have been sent
     */
    record Unanswered(long number, boolean sent) implements PlacementEvent {}

    /** Time has passed. */
    record Tick() implements PlacementEvent {}
}
