package io.stackhall.core.route;

import java.time.Duration;

/**
 * What callers may send, and how long they may take.
 *
 * @param maxHeaderBytes the longest head of a request
 * @param maxBodyBytes the longest body of a request
 * @param headerTimeout the longest that a head may take to arrive
 * @param idleTimeout the longest that a connection may rest between requests
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Returns the limits that hold before a configuration is known. */
    public static CallerLimits initial() {
        return new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
