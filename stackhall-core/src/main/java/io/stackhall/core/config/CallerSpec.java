package io.stackhall.core.config;

import io.stackhall.core.id.CustomerId;
import java.util.Objects;

/**
 * The API key of a customer and the highest priority that its requests may have.
 *
 * @param id the customer
 * @param keyHash SHA-256 hash of the key, in lower-case hexadecimal
 * @param priority highest priority that a request may ask for, and the default
 */
public record CallerSpec(CustomerId id, String keyHash, Priority priority) {

    /** Validates the components. */
    public CallerSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(keyHash, "keyHash");
        Objects.requireNonNull(priority, "priority");
    }
}
