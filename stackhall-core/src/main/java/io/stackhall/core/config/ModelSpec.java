package io.stackhall.core.config;

import io.stackhall.core.id.ModelId;
import java.util.Objects;

/**
 * A model of a deployment.
 *
 * @param id name of the model
 * @param version the version to serve
 * @param memoryMib accelerator memory of the model's weights, in MiB
 * @param floor minimum number of copies to keep resident in each availability zone, as far as
 *     memory allows
 * @param repeatable whether a request for the model may run more than once
 */
public record ModelSpec(ModelId id, String version, long memoryMib, int floor, boolean repeatable) {

    /** Rejects null components; {@link DeploymentChecker} validates everything else. */
    public ModelSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(version, "version");
    }
}
