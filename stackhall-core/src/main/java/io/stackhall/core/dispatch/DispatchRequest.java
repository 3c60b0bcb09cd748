package io.stackhall.core.dispatch;

import io.stackhall.core.quarantine.CrashCause;
import java.time.Duration;
import java.util.Optional;

/**
 * One request as the instance selectors see it.
 *
 * @param need what the request needs
 * @param objective the shortest latency objective of the routes that lead to the service
 * @param remaining what remains of the request's own latency objective; not positive if it can only
 *     be answered late
 * @param suspect the possible cause of crashes by which an isolated request picks its instance;
 *     empty for all other requests
 * @param now the monotonic clock, in nanoseconds
 */
record DispatchRequest(
        Need need, Duration objective, Duration remaining, Optional<CrashCause> suspect, long now) {

    boolean isLate() {
        return !remaining.isPositive();
    }
}
