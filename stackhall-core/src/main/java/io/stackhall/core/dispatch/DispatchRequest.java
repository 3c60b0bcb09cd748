package io.stackhall.core.dispatch;

import io.stackhall.core.quarantine.RequestDigest;
import java.time.Duration;
import java.util.Optional;

/**
 * What is asked of an engine for one request.
 *
 * @param need what the request needs
 * @param objective the shortest of those who ask the service
 * @param remaining what is left of its own objective; nothing where its answer can only be late
 * @param suspect by what a request that is to be kept apart picks among instances
 * @param now the monotonic clock, in nanoseconds
 */
record DispatchRequest(
        Need need,
        Duration objective,
        Duration remaining,
        Optional<RequestDigest> suspect,
        long now) {

    boolean isLate() {
        return !remaining.isPositive();
    }
}
