package io.stackhall.core.id;

/**
 * Names one change of the configuration, so that a resend is recognised.
 *
 * @param value the text
 */
public record ChangeId(String value) implements Id {

    /** Checks the text. */
    public ChangeId {
        IdText.require("change id", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
