package io.stackhall.core.id;

/**
 * Names one attempt to run a request; whoever holds it may run it.
 *
 * @param value the text
 */
public record AttemptToken(String value) implements Id {

    /** Checks the text. */
    public AttemptToken {
        IdText.require("attempt token", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
