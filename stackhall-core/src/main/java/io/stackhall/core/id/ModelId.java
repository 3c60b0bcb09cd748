package io.stackhall.core.id;

/**
 * Names a model or an adapter, as callers name it.
 *
 * @param value the text
 */
public record ModelId(String value) implements Id {

    /** Checks the text. */
    public ModelId {
        IdText.require("model", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
