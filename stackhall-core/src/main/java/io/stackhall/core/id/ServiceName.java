package io.stackhall.core.id;

/**
 * Names a plain service.
 *
 * @param value the text
 */
public record ServiceName(String value) implements Id {

    /** Checks the text. */
    public ServiceName {
        IdText.require("service", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
