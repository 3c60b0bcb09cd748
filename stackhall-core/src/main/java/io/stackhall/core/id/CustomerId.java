package io.stackhall.core.id;

/**
 * Names a customer: whoever holds keys to send requests with.
 *
 * @param value the text
 */
public record CustomerId(String value) implements Id {

    /** Checks the text. */
    public CustomerId {
        IdText.require("customer", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
