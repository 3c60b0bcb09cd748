package io.stackhall.core.id;

/**
 * Identifies a customer, the holder of the API keys that authenticate requests.
 *
 * @param value the text
 */
public record CustomerId(String value) implements Id {

    /** Validates the text. */
    public CustomerId {
        IdText.require("customer", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
