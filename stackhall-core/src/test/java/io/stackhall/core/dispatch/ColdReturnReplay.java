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
 * An instance that is back cold beside many hosts, each of which would send it whatever comes.
 * Times are in milliseconds.
 */
final class ColdReturnReplay {

    private static final UpstreamId COLD = new UpstreamId("cold");
    private static final long COLD_MILLIS = 3000;
    private static final long QUIET_UNTIL = 1500;
    private static final long WINDOW_MILLIS = 1000;

    private final Random random;
    private final List<ColdInstanceLimiter> hosts = new ArrayList<>();

    /** What the instance got: the most in any second, and all. */
    record Outcome(int maxInASecond, int sent) {}

    ColdReturnReplay(long seed, int hostCount) {
        random = new Random(seed);
        Instance instance = Instances.cold("cold", Duration.ofMillis(COLD_MILLIS));
        for (int count = 0; count < hostCount; count++) {
            ColdInstanceLimiter share = new ColdInstanceLimiter(new Random(random.nextLong()));
            share.setHostCount(hostCount);
            share.update(instance);
            hosts.add(share);
        }
    }

    /**
     * Plays the time in which the instance is cold.
     *
     * @param askedPerSecond requests at all hosts together
     * @param quietFirst whether nothing is asked for in the first half
     */
    Outcome play(double askedPerSecond, double bearsPerSecond, boolean quietFirst) {
        Deque<Long> window = new ArrayDeque<>();
        int most = 0;
        int sent = 0;
        hosts.forEach(host -> host.allows(COLD, bearsPerSecond, nanos(0)));
        for (long at = 0; at < COLD_MILLIS; at++) {
            boolean asked = random.nextDouble() < askedPerSecond / WINDOW_MILLIS;
            if (!asked || (quietFirst && at < QUIET_UNTIL)) {
                continue;
            }
            ColdInstanceLimiter host = hosts.get(random.nextInt(hosts.size()));
            if (!host.allows(COLD, bearsPerSecond, nanos(at))) {
                continue;
            }
            host.recordSent(COLD, bearsPerSecond, nanos(at));
            sent++;
            window.addLast(at);
            while (at - window.peekFirst() > WINDOW_MILLIS) {
                window.removeFirst();
            }
            most = Math.max(most, window.size());
        }
        return new Outcome(most, sent);
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(1_000_000 + millis).toNanos();
    }
}
