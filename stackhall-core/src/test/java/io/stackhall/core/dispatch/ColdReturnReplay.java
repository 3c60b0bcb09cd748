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
    private static final long COLD_FOR = 3000;
    private static final long QUIET_UNTIL = 1500;
    private static final long WINDOW = 1000;

    private final Random random;
    private final List<ColdShare> hosts = new ArrayList<>();

    /** What the instance got: the most in any second, and all. */
    record Outcome(int mostInASecond, int sent) {}

    ColdReturnReplay(long seed, int hostCount) {
        random = new Random(seed);
        Instance instance = Instances.coldInstance("cold", Duration.ofMillis(COLD_FOR));
        for (int count = 0; count < hostCount; count++) {
            ColdShare share = new ColdShare(new Random(random.nextLong()));
            share.shared(hostCount);
            share.reported(instance);
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
        for (long at = 0; at < COLD_FOR; at++) {
            boolean asked = random.nextDouble() < askedPerSecond / WINDOW;
            if (!asked || (quietFirst && at < QUIET_UNTIL)) {
                continue;
            }
            ColdShare host = hosts.get(random.nextInt(hosts.size()));
            if (!host.allows(COLD, bearsPerSecond, nanos(at))) {
                continue;
            }
            host.sent(COLD, bearsPerSecond, nanos(at));
            sent++;
            window.addLast(at);
            while (at - window.peekFirst() > WINDOW) {
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
