package io.stackhall.core.limit;

import java.time.Duration;
import java.util.List;

/**
 * When requests of one host may expect their permits.
 *
 * @param taken for each of those that are in the queue already, in order
 * @param next for one more
 * @param each for each further one after that
 */
public record PermitWaits(List<Duration> queued, Duration next, Duration increment) {

    /** Copies the list. */
    public PermitWaits {
        queued = List.copyOf(queued);
    }

    /** Returns the waits while nothing is known of the queue. */
    public static PermitWaits unknown() {
        return new PermitWaits(List.of(), Duration.ZERO, Duration.ZERO);
    }

    /** Returns when a request may expect its permit before which others of its host wait. */
    public Duration waitBehind(int ahead) {
        return ahead < queued.size()
                ? queued.get(ahead)
                : next.plus(increment.multipliedBy(ahead - queued.size()));
    }

    /** Returns the waits as they are some time later. */
    PermitWaits afterElapsed(Duration passed) {
        return new PermitWaits(
                queued.stream().map(wait -> subtract(wait, passed)).toList(),
                subtract(next, passed),
                increment);
    }

    private static Duration subtract(Duration wait, Duration passed) {
        return wait.compareTo(passed) > 0 ? wait.minus(passed) : Duration.ZERO;
    }
}
