package io.stackhall.server.tunnel;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;

/**
 * The path of a tunnel.
 *
 * @param host the peer address of the host that passes the bytes on
 * @param upstream the upstream at its other end
 */
public record TunnelRoute(HostId host, UpstreamId upstream) {}
