package io.stackhall.core.limit;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;

/**
 * The leader's answer to a {@link PermitRequest}, sent at once or when a permit becomes available.
 *
 * @param requestedAt when the host sent the request, on its own clock
 * @param granted whether one request may be sent
 * @param waits expected waits of the host's other requests
 */
public record PermitAnswer(
        HostId host, UpstreamId upstream, long requestedAt, boolean granted, PermitWaits waits) {}
