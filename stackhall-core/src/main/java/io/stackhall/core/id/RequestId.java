package io.stackhall.core.id;

/**
 * Identifies one request of a caller.
 *
 * @param value the text
 */
public record RequestId(String value) implements Id {

    /** Validates the text. */
    public RequestId {
        IdText.require("request id", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
