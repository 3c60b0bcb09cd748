package io.stackhall.core.residency;

import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.UpstreamId;
import java.util.List;

/**
 * An engine's own account of itself, some hundred milliseconds old.
 *
 * @param bornMillis when the engine started, in Unix milliseconds, or 0 where it does not tell
 * @param ordersTaken how many orders it has taken since its start
 * @param busy whether an order is under way
 * @param models what it serves
 */
public record EngineReport(
        long bornMillis, long ordersTaken, boolean busy, List<ModelCopy> models) {
    /** Copies the list. */
    public EngineReport {
        models = List.copyOf(models);
    }

    /** Returns whether another life of the engine gave this account. */
    boolean isOfOtherIncarnation(UpstreamId id) {
        return bornMillis != id.bornMillis() && bornMillis != UpstreamId.UNTOLD;
    }
}
