package io.stackhall.core.id;

/**
 * Identifies a model or an adapter by the name that callers use.
 *
 * @param value the text
 */
public record ModelId(String value) implements Id {

    /** Validates the text. */
    public ModelId {
        IdText.require("model", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
