package io.stackhall.core.id;

import java.util.Objects;

/** Validates the texts of ids. */
final class IdText {

    private static final int MAX_LENGTH = 200;

    private IdText() {}

    /** Returns whether a text is a valid id. */
    static boolean valid(String value) {
        return !value.isBlank() && value.length() <= MAX_LENGTH && !hasControlCharacter(value);
    }

    /**
     * Returns the text if it is a valid id.
     *
     * @param kind what the id identifies, for the error message
     * @param value the text
     * @throws IllegalArgumentException if the text is not valid; the message contains it
     */
    static String require(String kind, String value) {
        Objects.requireNonNull(value, kind);
        if (value.isBlank() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    kind + " must have 1 to " + MAX_LENGTH + " characters: '" + value + "'");
        }
        if (hasControlCharacter(value)) {
            throw new IllegalArgumentException(
                    kind + " must have no control characters: '" + value.strip() + "'");
        }
        return value;
    }

    /** A loop: ids are made for each message, where a stream would cost more than all the rest. */
    private static boolean hasControlCharacter(String value) {
        for (int index = 0; index < value.length(); index++) {
            if (Character.isISOControl(value.charAt(index))) {
                return true;
            }
        }
        return false;
    }
}
