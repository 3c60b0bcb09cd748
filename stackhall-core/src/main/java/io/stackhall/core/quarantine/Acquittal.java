package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.Set;

/**
 * A possible cause of crashes that has run to its end without one, which clears it of earlier
 * crashes.
 *
 * @param cause the request, or the part of its prompt
 * @param incarnations the instance incarnations whose crashes were attributed to it
 */
public record Acquittal(CrashCause cause, Set<UpstreamId> incarnations) {

    /** Copies the set. */
    public Acquittal {
        incarnations = Set.copyOf(incarnations);
    }
}
