package io.stackhall.core.id;

import io.stackhall.core.hash.Sha256;
import java.util.HexFormat;
import java.util.Objects;

/**
 * The version of an upstream's software, as the upstream names it. Versions have no order: two of
 * them are the same or they are not.
 *
 * @param value the text, which may be empty
 */
public record SoftwareVersion(String value) {

    private static final int MAX_LENGTH = 200;

    /** Checks the length. */
    public SoftwareVersion {
        Objects.requireNonNull(value, "software version");
        if (value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "software version has more than " + MAX_LENGTH + " characters: " + value);
        }
    }

    /**
     * Returns the version that an upstream names. A text that is too long for a log line, or would
     * break it, is replaced by its hash, so that different texts remain different.
     */
    public static SoftwareVersion of(String named) {
        boolean fits =
                named.length() <= MAX_LENGTH && named.chars().noneMatch(Character::isISOControl);
        return new SoftwareVersion(
                fits ? named : "sha256:" + HexFormat.of().formatHex(Sha256.of(named)));
    }

    @Override
    public String toString() {
        return value;
    }
}
