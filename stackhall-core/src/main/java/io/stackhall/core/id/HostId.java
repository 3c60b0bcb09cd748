package io.stackhall.core.id;

/**
 * Names an entry host.
 *
 * @param value the text
 */
public record HostId(String value) implements Id {

    /** Checks the text. */
    public HostId {
        IdText.require("host", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
