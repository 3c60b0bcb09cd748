package io.stackhall.server.relay;

import io.stackhall.server.settings.Address;
import io.stackhall.server.tunnel.TunnelRoute;
import java.util.Optional;

/**
 * How an upstream is reached. Connections are kept by route.
 *
 * @param address the address of the upstream
 * @param tunnel the tunnel to it, or empty for a connection of this host
 */
public record UpstreamRoute(Address address, Optional<TunnelRoute> tunnel) {

    /** Returns the route of a connection that this host opens itself. */
    public static UpstreamRoute direct(Address address) {
        return new UpstreamRoute(address, Optional.empty());
    }
}
