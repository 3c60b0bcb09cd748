package io.stackhall.core.config;

import java.util.Objects;

/**
 * A validation error in an input.
 *
 * @param place location of the error, as a JSON pointer or a line and column
 * @param message description of the error, including the invalid value
 */
public record Finding(String place, String message) {

    /** Validates the components. */
    public Finding {
        Objects.requireNonNull(place, "place");
        Objects.requireNonNull(message, "message");
    }

    @Override
    public String toString() {
        return place + ": " + message;
    }
}
