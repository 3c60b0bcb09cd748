package io.stackhall.core.config;

import java.util.Objects;
import java.util.Optional;

/**
 * The placement policies of a deployment.
 *
 * @param active the policy whose decisions are carried out
 * @param compared a policy that decides on the same events in shadow mode, for comparison only
 */
public record PolicySpec(PolicyName active, Optional<PolicyName> compared) {

    /** Validates the components. */
    public PolicySpec {
        Objects.requireNonNull(active, "active");
        Objects.requireNonNull(compared, "compared");
    }
}
