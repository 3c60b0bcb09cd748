package io.stackhall.core.id;

import java.util.Optional;

/**
 * Names an availability zone.
 *
 * @param value the text
 */
public record ZoneId(String value) implements Id {

    /** Checks the text. */
    public ZoneId {
        IdText.require("zone", value);
    }

    /** Returns the zone that a text names, if it may be a name. */
    public static Optional<ZoneId> parse(String text) {
        return IdText.valid(text) ? Optional.of(new ZoneId(text)) : Optional.empty();
    }

    @Override
    public String toString() {
        return value;
    }
}
