package io.stackhall.core.config;

import java.util.Arrays;
import java.util.Optional;

/** Placement policies that a deployment may select. */
public enum PolicyName {
    /** Compares the demand that a load is expected to serve with the loss from evicted models. */
    EXPECTED_GAIN("expected-gain"),
    /** Weighs loads as expected-gain does, and loads a model where its weights are nearest. */
    NEAREST_COPY("nearest-copy"),
    /** Loads a model on a miss and evicts the least recently used one. */
    LEAST_RECENTLY_USED("least-recently-used"),
    /** Loads models as long as they fit and never evicts. */
    STATIC("static");

    private final String text;

    PolicyName(String text) {
        this.text = text;
    }

    /** Returns the name of the policy in the configuration. */
    public String text() {
        return text;
    }

    /** Returns the policy with the given configuration name, if there is one. */
    public static Optional<PolicyName> of(String text) {
        return Arrays.stream(values()).filter(name -> name.text.equals(text)).findFirst();
    }
}
