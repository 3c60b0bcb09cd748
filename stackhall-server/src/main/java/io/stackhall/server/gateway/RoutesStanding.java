package io.stackhall.server.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * What a host knows of the age of its active routes, for the log.
 *
 * @param version the active version, negative if there is none
 * @param reported the newest version that a control host has reported
 * @param confirmationAge the time since the host asked for the last confirmation of a quorum that
 *     it has received; empty if it has received none
 */
record RoutesStanding(long version, long reported, Optional<Duration> confirmationAge) {

    /** Returns the age of the last confirmation in milliseconds, negative if there is none. */
    long confirmationAgeMillis() {
        return confirmationAge.map(Duration::toMillis).orElse(-1L);
    }
}
