package io.stackhall.core.path;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;

/**
 * A host through which another host may open tunnels to upstreams.
 *
 * @param id its peer address
 * @param zone its availability zone
 * @param impaired whether it reaches some upstreams only through others itself
 */
public record TunnelHost(HostId id, ZoneId zone, boolean impaired) {}
