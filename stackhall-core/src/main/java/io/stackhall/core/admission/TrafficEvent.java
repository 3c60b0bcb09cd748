package io.stackhall.core.admission;

import io.stackhall.core.config.Configuration;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.core.routing.AttemptResult;

/** What can happen to a {@link TrafficScheduler}. */
public sealed interface TrafficEvent {

    /** A request asks to be served. */
    record Arrived(Arrival arrival) implements TrafficEvent {}

    /** Its caller has gone before it was dispatched, or while it runs. */
    record Withdrawn(RequestId id) implements TrafficEvent {}

    /**
     * An attempt on an upstream has ended.
     *
     * @param id the request
     * @param ending what it says of the upstream
     * @param outcome whether the request ran
     * @param answered whether the caller has got anything of the answer, so that it cannot be tried
     *     again
     */
    record AttemptEnded(
            RequestId id, AttemptResult result, RequestOutcome outcome, boolean answered)
            implements TrafficEvent {}

    /** An upstream has announced itself. */
    record Announced(Announcement announcement) implements TrafficEvent {}

    /** An upstream has been silent for too long. */
    record UpstreamLost(UpstreamId upstream) implements TrafficEvent {}

    /** A host of another zone has told what its zone can serve. */
    record NeighbourAnnounced(Announcement announcement) implements TrafficEvent {}

    /** A host of another zone has been silent for too long. */
    record NeighbourLost(UpstreamId neighbour) implements TrafficEvent {}

    /** Another configuration is in force. */
    record Configured(Configuration configuration) implements TrafficEvent {}

    /** Time has passed. */
    record Tick() implements TrafficEvent {}
}
