package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.Instances;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * Simulates an instance that returns cold beside many hosts, each of which would send it every
 * request. Times are in milliseconds.
 */
final class ColdReturnReplay {

    private static final UpstreamId COLD = new UpstreamId("cold");
    private static final long COLD_MILLIS = 3000;
    private static final long QUIET_UNTIL = 1500;
    private static final long WINDOW_MILLIS = 1000;

    private final Random random;
    private final List<ColdInstanceLimiter> hosts = new ArrayList<>();

    /** The requests that the instance got: the maximum in any second, and the total. */
    record Outcome(int maxInASecond, int sent) {}

    ColdReturnReplay(long seed, int hostCount) {
        random = new Random(seed);
        Instance instance = Instances.coldInstance("cold", Duration.ofMillis(COLD_MILLIS));
        for (int count = 0; count < hostCount; count++) {
            ColdInstanceLimiter limiter = new ColdInstanceLimiter(new Random(random.nextLong()));
            limiter.setHostCount(hostCount);
            limiter.update(instance);
            hosts.add(limiter);
        }
    }

    /**
     * Simulates the time in which the instance is cold.
     *
     * @param arrivalsPerSecond requests per second over all hosts
     * @param quietFirst whether there are no requests in the first half
     */
    Outcome simulate(double arrivalsPerSecond, double capacityPerSecond, boolean quietFirst) {
        Deque<Long> window = new ArrayDeque<>();
        int max = 0;
        int sent = 0;
        hosts.forEach(host -> host.allows(COLD, capacityPerSecond, nanos(0)));
        for (long at = 0; at < COLD_MILLIS; at++) {
            boolean arrives = random.nextDouble() < arrivalsPerSecond / WINDOW_MILLIS;
            if (!arrives || (quietFirst && at < QUIET_UNTIL)) {
                continue;
            }
            ColdInstanceLimiter host = hosts.get(random.nextInt(hosts.size()));
            if (!host.allows(COLD, capacityPerSecond, nanos(at))) {
                continue;
            }
            host.recordSent(COLD, capacityPerSecond, nanos(at));
            sent++;
            window.addLast(at);
            while (at - window.peekFirst() > WINDOW_MILLIS) {
                window.removeFirst();
            }
            max = Math.max(max, window.size());
        }
        return new Outcome(max, sent);
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(1_000_000 + millis).toNanos();
    }
}
