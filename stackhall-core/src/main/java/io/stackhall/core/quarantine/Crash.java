package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.Set;

/**
 * A life of an instance that has ended by itself, with requests that it had and had not answered.
 *
 * <p>Several hosts tell of one life, each of its own requests.
 *
 * @param life the life that ended
 * @param requests what one host, or several together, had there
 */
public record Crash(UpstreamId incarnation, Set<RequestDigest> requests) {

    /** Copies the set. */
    public Crash {
        requests = Set.copyOf(requests);
    }
}
