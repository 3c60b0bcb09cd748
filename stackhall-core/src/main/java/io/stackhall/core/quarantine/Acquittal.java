package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.Set;

/**
 * A request that has ended without a crash of its instance, which clears it of earlier crashes.
 *
 * @param request the request
 * @param incarnations the instance incarnations whose crashes were attributed to it
 */
public record Acquittal(RequestDigest request, Set<UpstreamId> incarnations) {

    /** Copies the set. */
    public Acquittal {
        incarnations = Set.copyOf(incarnations);
    }
}
