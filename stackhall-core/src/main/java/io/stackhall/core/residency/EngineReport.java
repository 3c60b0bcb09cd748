package io.stackhall.core.residency;

import io.stackhall.core.fleet.ModelCopy;
import java.util.List;

/**
 * An engine's own account of itself, some hundred milliseconds old.
 *
 * @param ordersTaken how many orders it has taken since its start
 * @param busy whether an order is under way
 * @param models what it serves
 */
public record EngineReport(long ordersTaken, boolean busy, List<ModelCopy> models) {
    /** Copies the list. */
    public EngineReport {
        models = List.copyOf(models);
    }
}
