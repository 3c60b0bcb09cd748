package io.stackhall.core.membership;

import io.stackhall.core.id.ModelId;
import java.util.Objects;

/**
 * One version of a model or adapter.
 *
 * @param id the model or adapter
 * @param version its version
 */
public record Artifact(ModelId id, String version) {

    /** Validates the components. */
    public Artifact {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(version, "version");
    }

    @Override
    public String toString() {
        return id + "@" + version;
    }
}
