package io.stackhall.core.id;

/**
 * Identifies one change of the configuration, so that a resent change is recognized.
 *
 * @param value the text
 */
public record ChangeId(String value) implements Id {

    /** Validates the text. */
    public ChangeId {
        IdText.require("change id", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
