package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.Set;

/**
 * A request that has run to an end without harm, so that it did not end these lives.
 *
 * @param request the request
 * @param lives those that were held against it
 */
public record Acquittal(RequestDigest request, Set<UpstreamId> incarnations) {

    /** Copies the set. */
    public Acquittal {
        incarnations = Set.copyOf(incarnations);
    }
}
