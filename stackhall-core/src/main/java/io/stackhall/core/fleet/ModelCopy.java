package io.stackhall.core.fleet;

import io.stackhall.core.id.ModelId;
import java.util.Set;

/**
 * A model that an instance serves.
 *
 * @param model its name
 * @param version of its weights
 * @param adapters the adapters resident beside it, by name
 */
public record ModelCopy(ModelId model, long version, Set<String> adapters) {
    /** Copies the adapters. */
    public ModelCopy {
        adapters = Set.copyOf(adapters);
    }
}
