package io.stackhall.core.limit;

import java.time.Duration;
import java.util.List;

/**
 * Expected waits of one host's requests for their permits.
 *
 * @param queued for each of its requests in the queue, in order
 * @param next for one further request
 * @param increment additional wait of each request after that
 */
public record PermitWaits(List<Duration> queued, Duration next, Duration increment) {

    /** Copies the list. */
    public PermitWaits {
        queued = List.copyOf(queued);
    }

    /** Returns the waits to assume while the queue is not known. */
    public static PermitWaits unknown() {
        return new PermitWaits(List.of(), Duration.ZERO, Duration.ZERO);
    }

    /** Returns the expected wait of a request behind a number of others of its host. */
    public Duration waitBehind(int ahead) {
        return ahead < queued.size()
                ? queued.get(ahead)
                : next.plus(increment.multipliedBy(ahead - queued.size()));
    }

    /** Returns what remains of the waits after some time. */
    PermitWaits afterElapsed(Duration elapsed) {
        return new PermitWaits(
                queued.stream().map(wait -> subtract(wait, elapsed)).toList(),
                subtract(next, elapsed),
                increment);
    }

    private static Duration subtract(Duration wait, Duration elapsed) {
        return wait.compareTo(elapsed) > 0 ? wait.minus(elapsed) : Duration.ZERO;
    }
}
