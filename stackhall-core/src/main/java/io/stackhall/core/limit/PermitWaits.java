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
public record PermitWaits(List<Duration> taken, Duration next, Duration each) {

    /** Copies the list. */
    public PermitWaits {
        taken = List.copyOf(taken);
    }

    /** Returns the waits while nothing is known of the queue. */
    public static PermitWaits unknown() {
        return new PermitWaits(List.of(), Duration.ZERO, Duration.ZERO);
    }

    /** Returns when a request may expect its permit before which others of its host wait. */
    public Duration behind(int ahead) {
        return ahead < taken.size()
                ? taken.get(ahead)
                : next.plus(each.multipliedBy(ahead - taken.size()));
    }

    /** Returns the waits as they are some time later. */
    PermitWaits after(Duration passed) {
        return new PermitWaits(
                taken.stream().map(wait -> less(wait, passed)).toList(), less(next, passed), each);
    }

    private static Duration less(Duration wait, Duration passed) {
        return wait.compareTo(passed) > 0 ? wait.minus(passed) : Duration.ZERO;
    }
}
