package io.stackhall.core.quarantine;

import io.stackhall.core.id.UpstreamId;
import java.util.Map;

/**
 * An unplanned end of one incarnation of an instance, with its possible causes: what was in
 * progress there.
 *
 * <p>Several hosts report the same crash, each with its own requests. A cause that was sent before
 * its sender had heard of any crash of it is in its first round, and one that was sent after a
 * crash of round n in round n + 1. Crashes of the same round may be one event, such as a power
 * failure, and do not confirm each other.
 *
 * @param incarnation the incarnation that crashed
 * @param causes the possible causes that one or several hosts had there
 */
public record Crash(UpstreamId incarnation, Map<CrashCause, Presence> causes) {

    /** Copies the map. */
    public Crash {
        causes = Map.copyOf(causes);
    }
}
