package io.stackhall.core.id;

/**
 * Names one accepted piece of deferred work.
 *
 * @param value the text
 */
public record WorkId(String value) implements Id {

    /** Checks the text. */
    public WorkId {
        IdText.require("work id", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
