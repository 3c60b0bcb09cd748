package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.Set;

/**
 * An unplanned end of one incarnation of an instance, with requests that were in progress there.
 *
 * <p>Several hosts report the same crash, each with its own requests.
 *
 * @param incarnation the incarnation that crashed
 * @param requests the unanswered requests that one or several hosts had there
 */
public record Crash(UpstreamId incarnation, Set<RequestDigest> requests) {

    /** Copies the set. */
    public Crash {
        requests = Set.copyOf(requests);
    }
}
