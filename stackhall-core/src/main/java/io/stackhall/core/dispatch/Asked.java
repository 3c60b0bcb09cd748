package io.stackhall.core.dispatch;

import io.stackhall.core.quarantine.RequestDigest;
import java.time.Duration;
import java.util.Optional;

/**
 * What is asked of an engine for one request.
 *
 * @param need what the request needs
 * @param objective the shortest of those who ask the service
 * @param late whether its answer can only be late
 * @param apart by what a request that is to be kept apart picks among instances
 * @param now the monotonic clock, in nanoseconds
 */
record Asked(
        Need need, Duration objective, boolean late, Optional<RequestDigest> apart, long now) {}
