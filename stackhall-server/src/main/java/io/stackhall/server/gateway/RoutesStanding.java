package io.stackhall.server.gateway;

import java.time.Duration;

/**
 * What a host knows of the age of its active routes, for the log.
 *
 * @param version the active version, negative if there is none
 * @param reported the newest version that a control host has reported
 * @param confirmationAge the time since the host asked for the last confirmation of a quorum that
 *     it has received
 */
record RoutesStanding(long version, long reported, Duration confirmationAge) {}
