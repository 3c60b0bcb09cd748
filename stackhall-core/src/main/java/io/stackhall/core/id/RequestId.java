package io.stackhall.core.id;

/**
 * Names one request of a caller.
 *
 * @param value the text
 */
public record RequestId(String value) implements Id {

    /** Checks the text. */
    public RequestId {
        IdText.require("request id", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
