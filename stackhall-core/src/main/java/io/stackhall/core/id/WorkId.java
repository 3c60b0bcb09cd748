package io.stackhall.core.id;

/**
 * Identifies one accepted item of deferred work.
 *
 * @param value the text
 */
public record WorkId(String value) implements Id {

    /** Validates the text. */
    public WorkId {
        IdText.require("work id", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
