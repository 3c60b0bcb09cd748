package io.stackhall.core.membership;

import java.util.Objects;

/**
 * An artifact that is loaded in the accelerator memory of an upstream.
 *
 * @param artifact the model or adapter
 * @param memoryMib memory that it uses, in MiB
 */
public record Resident(Artifact artifact, long memoryMib) {

    /** Validates the components. */
    public Resident {
        Objects.requireNonNull(artifact, "artifact");
        if (memoryMib < 0) {
            throw new IllegalArgumentException(
                    artifact + " takes " + memoryMib + " MiB, which is negative");
        }
    }
}
