package io.stackhall.core.limit;

import io.stackhall.core.id.HostId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Which part of the hosts a keeper grants to. The others may have begun to send by themselves their
 * equal share of each limit, which the keeper leaves to them.
 *
 * <p>Not thread-safe: one thread uses it.
 */
final class HostsInReach {

    /** Hosts report every second; they send by themselves only after a longer silence. */
    static final Duration HEARD_WITHIN = Duration.ofMillis(1600);

    /** A host that was silent for this long is taken for gone, not for cut off. */
    private static final Duration FORGOTTEN_AFTER = Duration.ofMinutes(1);

    private final Map<HostId, Long> heardAt = new HashMap<>();

    /**
     * Takes in that a host reports.
     *
     * @param unled whether it sends by itself, since nothing reaches it
     */
    void heard(HostId host, boolean unled, long now) {
        if (unled) {
            heardAt.put(host, now - HEARD_WITHIN.toNanos() - 1);
        } else {
            heardAt.put(host, now);
        }
    }

    /** Returns the part of the hosts that is in reach, between 0 and 1. */
    double share(long now) {
        heardAt.values().removeIf(at -> now - at > FORGOTTEN_AFTER.toNanos());
        if (heardAt.isEmpty()) {
            return 1;
        }
        long near =
                heardAt.values().stream().filter(at -> now - at <= HEARD_WITHIN.toNanos()).count();
        return (double) near / heardAt.size();
    }
}
