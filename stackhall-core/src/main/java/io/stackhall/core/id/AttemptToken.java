package io.stackhall.core.id;

/**
 * Identifies one attempt to run a request and authorizes its holder to run it.
 *
 * @param value the text
 */
public record AttemptToken(String value) implements Id {

    /** Validates the text. */
    public AttemptToken {
        IdText.require("attempt token", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
