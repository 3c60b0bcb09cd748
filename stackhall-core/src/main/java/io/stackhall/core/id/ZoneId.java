package io.stackhall.core.id;

import java.util.Optional;

/**
 * Identifies an availability zone.
 *
 * @param value the text
 */
public record ZoneId(String value) implements Id {

    /** Validates the text. */
    public ZoneId {
        IdText.require("zone", value);
    }

    /** Returns the id with the given text, or empty if the text is not a valid id. */
    public static Optional<ZoneId> parse(String text) {
        return IdText.valid(text) ? Optional.of(new ZoneId(text)) : Optional.empty();
    }

    @Override
    public String toString() {
        return value;
    }
}
