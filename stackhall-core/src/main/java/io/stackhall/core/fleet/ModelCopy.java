package io.stackhall.core.fleet;

import io.stackhall.core.id.ModelId;
import java.util.Set;

/**
 * A copy of a model that an instance serves.
 *
 * @param model the model
 * @param version the version of the weights
 * @param adapters the names of the resident adapters of the model
 */
public record ModelCopy(ModelId model, long version, Set<String> adapters) {
    /** Creates a copy of a model with a copy of the set of adapters. */
    public ModelCopy {
        adapters = Set.copyOf(adapters);
    }
}
