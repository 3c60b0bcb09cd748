package io.stackhall.core.id;

/**
 * Identifies an entry host.
 *
 * @param value the text
 */
public record HostId(String value) implements Id {

    /** Validates the text. */
    public HostId {
        IdText.require("host", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
