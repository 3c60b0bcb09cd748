package io.stackhall.core.slot;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;

/**
 * How many requests a host may have at an upstream at a time.
 *
 * @param requestedAt when the host sent the request that it answers, by the host's own clock
 */
public record SlotLease(HostId host, UpstreamId upstream, int quota, long requestedAt) {}
