package io.stackhall.core.route;

import io.stackhall.core.id.ServiceName;
import java.util.Optional;

/**
 * A service that routes refer to.
 *
 * @param name its name
 * @param healthPath the path at which its upstreams answer probes
 * @param maxConnections connections that one of its upstreams accepts from all hosts together
 * @param coldPerSecond requests per second that one of its upstreams sustains from all hosts
 *     together while it is cold, or 0 if unlimited
 * @param engine the properties of its upstreams if these are model engines
 */
public record ServiceEntry(
        ServiceName name,
        String healthPath,
        int maxConnections,
        double coldPerSecond,
        Optional<EngineSpec> engine) {

    /** Checks the range of the rate. */
    public ServiceEntry {
        if (!(coldPerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "coldPerSecond of " + name + " must not be " + coldPerSecond);
        }
    }
}
