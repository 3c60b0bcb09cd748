package io.stackhall.core.route;

import io.stackhall.core.id.ServiceName;
import java.util.Optional;

/**
 * One service that routes lead to.
 *
 * @param name its name
 * @param maxConnections connections that an upstream of it accepts from all hosts together
 * @param coldPerSecond requests a second that an upstream of it bears from all hosts together while
 *     it is cold, or 0 where that is without bound
 * @param engine what its upstreams are like where they are model engines
 */
public record ServiceEntry(
        ServiceName name, int maxConnections, double coldPerSecond, Optional<EngineSpec> engine) {

    /** Checks the figure. */
    public ServiceEntry {
        if (!(coldPerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "coldPerSecond of " + name + " must not be " + coldPerSecond);
        }
    }
}
