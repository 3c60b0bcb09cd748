package io.stackhall.core.id;

/**
 * Identifies a request that must not run twice. The caller chooses the key.
 *
 * @param value the text
 */
public record IdempotencyKey(String value) implements Id {

    /** Validates the text. */
    public IdempotencyKey {
        IdText.require("idempotency key", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
