package io.stackhall.core.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * The timing settings of placement.
 *
 * @param orderLifetime the maximum time for which a copy of an order may be in transit
 * @param resendAfter the wait before an unanswered order is sent again
 * @param decideEvery the interval between two decisions of the policy
 * @param zones the number of zones that share the weight store
 */
public record PlacementSettings(
        Duration orderLifetime, Duration resendAfter, Duration decideEvery, int zones) {

    /** Checks the components. */
    public PlacementSettings {
        Objects.requireNonNull(orderLifetime, "orderLifetime");
        Objects.requireNonNull(resendAfter, "resendAfter");
        Objects.requireNonNull(decideEvery, "decideEvery");
        if (zones < 1) {
            throw new IllegalArgumentException("zones " + zones + " is not positive");
        }
    }
}
