package io.stackhall.core.config;

import io.stackhall.core.id.CustomerId;
import java.util.Objects;

/**
 * A caller and its rights.
 *
 * @param id its name
 * @param keyHash SHA-256 of its key, in lower-case hexadecimal
 * @param priority how urgent its requests are
 */
public record CallerSpec(CustomerId id, String keyHash, Priority priority) {

    /** Checks the parts. */
    public CallerSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(keyHash, "keyHash");
        Objects.requireNonNull(priority, "priority");
    }
}
