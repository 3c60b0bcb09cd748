package io.stackhall.core.slot;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;

/**
 * What one host has and wants at one upstream. Each request replaces the one before, so that a lost
 * one does no harm.
 *
 * @param slots the requests that the upstream runs at a time
 * @param inFlight the host's requests there
 * @param waiting the host's requests that wait for a place there
 * @param requestedAt when it was sent, by the host's own clock in nanoseconds
 */
public record SlotRequest(
        HostId host, UpstreamId upstream, int slots, int inFlight, int waiting, long requestedAt) {

    /** Checks the counts. */
    public SlotRequest {
        if (slots < 0 || inFlight < 0 || waiting < 0) {
            throw new IllegalArgumentException(
                    "negative count of %s at %s: %d, %d, %d"
                            .formatted(host, upstream, slots, inFlight, waiting));
        }
    }
}
