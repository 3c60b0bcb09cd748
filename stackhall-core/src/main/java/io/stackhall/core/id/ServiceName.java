package io.stackhall.core.id;

/**
 * Identifies a plain service, an upstream that is not a model engine.
 *
 * @param value the text
 */
public record ServiceName(String value) implements Id {

    /** Validates the text. */
    public ServiceName {
        IdText.require("service", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
