package io.stackhall.core.limit;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;

/**
 * What the keeper answers to a {@link PermitRequest}, at once or once there is room.
 *
 * @param askedAt when the host had asked, on its own clock
 * @param granted whether one request may be sent
 * @param waits when the host's other requests may expect theirs
 */
public record PermitAnswer(
        HostId host, UpstreamId upstream, long requestedAt, boolean granted, PermitWaits waits) {}
