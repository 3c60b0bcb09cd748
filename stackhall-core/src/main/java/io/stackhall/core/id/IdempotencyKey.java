package io.stackhall.core.id;

/**
 * Names a request that must not run twice, as its caller chose it.
 *
 * @param value the text
 */
public record IdempotencyKey(String value) implements Id {

    /** Checks the text. */
    public IdempotencyKey {
        IdText.require("idempotency key", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
