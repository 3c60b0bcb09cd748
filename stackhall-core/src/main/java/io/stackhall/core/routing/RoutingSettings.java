package io.stackhall.core.routing;

import java.time.Duration;
import java.util.Objects;

/**
 * The parameters of routing.
 *
 * @param failuresToEject consecutive failures after which an upstream is ejected
 * @param ejection the duration of the first ejection; it doubles with each consecutive one
 * @param longestEjection the maximum duration of an ejection
 * @param slowStart the time in which a new or readmitted upstream reaches its full limit
 * @param urgentShare the share of an upstream's limit that is reserved for urgent requests
 */
public record RoutingSettings(
        int failuresToEject,
        Duration ejection,
        Duration longestEjection,
        Duration slowStart,
        double urgentShare) {

    /** Checks the ranges. */
    public RoutingSettings {
        Objects.requireNonNull(ejection, "ejection");
        Objects.requireNonNull(longestEjection, "longestEjection");
        Objects.requireNonNull(slowStart, "slowStart");
        if (failuresToEject < 1) {
            throw new IllegalArgumentException(
                    "failuresToEject " + failuresToEject + " is not positive");
        }
        if (urgentShare < 0 || urgentShare >= 1) {
            throw new IllegalArgumentException("urgentShare " + urgentShare + " is not in [0, 1)");
        }
    }

    /** Returns the default settings. */
    public static RoutingSettings standard() {
        return new RoutingSettings(
                3, Duration.ofSeconds(2), Duration.ofSeconds(30), Duration.ofSeconds(5), 0.25);
    }
}
