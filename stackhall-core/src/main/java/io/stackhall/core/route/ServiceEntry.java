package io.stackhall.core.route;

import io.stackhall.core.id.ServiceName;
import java.util.Optional;

/**
 * One service that routes lead to.
 *
 * @param name its name
 * @param maxConnections connections that an upstream of it accepts from all hosts together
 * @param engine what its upstreams are like where they are model engines
 */
public record ServiceEntry(ServiceName name, int maxConnections, Optional<EngineSpec> engine) {}
