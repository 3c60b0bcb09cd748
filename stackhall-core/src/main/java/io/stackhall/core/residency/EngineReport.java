package io.stackhall.core.residency;

import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.UpstreamId;
import java.util.List;

/**
 * The status report of an engine, read from the engine itself. Its content is some hundred
 * milliseconds old.
 *
 * @param bornMillis the start time of the engine in Unix milliseconds, or 0 if not reported
 * @param ordersTaken the number of orders taken since the start
 * @param busy whether an order is in progress
 * @param models the models that the engine serves
 */
public record EngineReport(
        long bornMillis, long ordersTaken, boolean busy, List<ModelCopy> models) {
    /** Creates a report with a copy of the list. */
    public EngineReport {
        models = List.copyOf(models);
    }

    /** Returns whether the report is of another incarnation than the given one. */
    boolean isOfOtherIncarnation(UpstreamId id) {
        return bornMillis != id.bornMillis() && bornMillis != UpstreamId.START_UNKNOWN;
    }
}
