package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Replays a host on which requests wait while others end and engines load models. */
class RechecksOfWaitingRequestsTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long SPAN = 20 * SECOND;
    private static final long OCCASION_INTERVAL = Duration.ofMillis(2).toNanos();
    private static final long COST_OF_ONE = Duration.ofMillis(1).toNanos() / 5;
    private static final double MAX_SHARE = 0.21;

    @Test
    void rechecksLeaveTheEventLoopToRequestsThatAreServed() {
        for (int waiting : new int[] {1, 10, 50, 200}) {
            long cost = waiting * COST_OF_ONE;
            assertThat((double) timeInRechecks(cost) / SPAN).isLessThan(MAX_SHARE);
        }
    }

    @Test
    void recheckThatCostsLittleIsNotDelayed() {
        RecheckPace pace = new RecheckPace();
        long cost = COST_OF_ONE;
        for (long now = SECOND; now < 2 * SECOND; now += OCCASION_INTERVAL) {
            assertThat(pace.delayNanos(now)).isZero();
            pace.recordRecheck(now, now + cost);
        }
    }

    @Test
    void suspensionDuringARecheckKeepsNothingWaiting() {
        RecheckPace pace = new RecheckPace();
        pace.recordRecheck(SECOND, 6 * SECOND);
        assertThat(pace.delayNanos(6 * SECOND)).isLessThanOrEqualTo(SECOND / 4);
    }

    /** Returns the time that rechecks take within the span, at an occasion for one every 2 ms. */
    private static long timeInRechecks(long cost) {
        RecheckPace pace = new RecheckPace();
        long spent = 0;
        long now = SECOND;
        while (now < SECOND + SPAN) {
            if (pace.delayNanos(now) == 0) {
                pace.recordRecheck(now, now + cost);
                spent += cost;
                now += cost;
            }
            now += OCCASION_INTERVAL;
        }
        return spent;
    }
}
