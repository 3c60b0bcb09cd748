package io.stackhall.core.config;

import java.util.Arrays;
import java.util.Optional;

/** The placement policies that a deployment may name. */
public enum PolicyName {
    /** Weighs the demand expected of a load against what the evicted models lose. */
    EXPECTED_GAIN("expected-gain"),
    /** Weighs as expected-gain does, and loads where the weights are nearest at hand. */
    NEAREST_COPY("nearest-copy"),
    /** Loads on a miss and evicts what was used longest ago. */
    LEAST_RECENTLY_USED("least-recently-used"),
    /** Keeps whatever fits first and never evicts. */
    STATIC("static");

    private final String text;

    PolicyName(String text) {
        this.text = text;
    }

    /** Returns the name as operators write it. */
    public String text() {
        return text;
    }

    /** Returns the policy of a name, if there is one. */
    public static Optional<PolicyName> of(String text) {
        return Arrays.stream(values()).filter(name -> name.text.equals(text)).findFirst();
    }
}
