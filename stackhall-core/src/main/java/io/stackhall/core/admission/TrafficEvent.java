package io.stackhall.core.admission;

import io.stackhall.core.config.Configuration;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.core.routing.AttemptResult;

/** An event that a {@link TrafficScheduler} handles. */
public sealed interface TrafficEvent {

    /** A request has arrived. */
    record Arrived(Arrival arrival) implements TrafficEvent {}

    /** Its caller has disconnected while it waited or ran. */
    record Withdrawn(RequestId id) implements TrafficEvent {}

    /**
     * An attempt on an upstream has ended.
     *
     * @param id the request
     * @param result what it shows about the upstream's health
     * @param outcome whether the request ran
     * @param answered whether the caller has received any part of the answer, which rules out a
     *     retry
     */
    record AttemptEnded(
            RequestId id, AttemptResult result, RequestOutcome outcome, boolean answered)
            implements TrafficEvent {}

    /** An upstream has announced itself. */
    record Announced(Announcement announcement) implements TrafficEvent {}

    /** An upstream has not announced itself for too long. */
    record UpstreamLost(UpstreamId upstream) implements TrafficEvent {}

    /** A host of another zone has announced what its zone can serve. */
    record NeighbourAnnounced(Announcement announcement) implements TrafficEvent {}

    /** A host of another zone has not announced itself for too long. */
    record NeighbourLost(UpstreamId neighbour) implements TrafficEvent {}

    /** Another configuration has taken effect. */
    record Configured(Configuration configuration) implements TrafficEvent {}

    /** Time has passed. */
    record Tick() implements TrafficEvent {}
}
