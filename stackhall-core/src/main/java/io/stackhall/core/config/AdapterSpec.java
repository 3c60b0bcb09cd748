package io.stackhall.core.config;

import io.stackhall.core.id.ModelId;
import java.util.Objects;

/**
 * An adapter that is served on top of its base model.
 *
 * @param id name of the adapter
 * @param base the base model, which must be loaded as well
 * @param memoryMib accelerator memory of the adapter's weights, in MiB
 */
public record AdapterSpec(ModelId id, ModelId base, long memoryMib) {

    /** Rejects null components; {@link DeploymentChecker} validates everything else. */
    public AdapterSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(base, "base");
    }
}
