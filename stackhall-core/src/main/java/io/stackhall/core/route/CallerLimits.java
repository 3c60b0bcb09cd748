package io.stackhall.core.route;

import java.time.Duration;

/**
 * Limits on callers' requests and connections.
 *
 * @param maxHeaderBytes the maximum size of a request head
 * @param maxBodyBytes the maximum size of a request body
 * @param headerTimeout the time within which a head must arrive
 * @param idleTimeout the time after which an idle connection is closed
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Returns the limits that apply before a configuration is known. */
    public static CallerLimits initial() {
        return new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
