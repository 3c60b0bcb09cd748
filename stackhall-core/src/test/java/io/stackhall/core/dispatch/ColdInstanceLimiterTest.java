package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.Instances;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against overload of an instance that returns cold: without the limit it got the requests
 * of many hosts at once, several times what it can handle, and crashed again.
 */
class ColdInstanceLimiterTest {

    private static final double CAPACITY_PER_SECOND = 11;

    /** Half as much again as the capacity, plus a few requests, is too much. */
    private static final double MAX_IN_A_SECOND = 1.5 * CAPACITY_PER_SECOND + 5;

    private static final int SEEDS = 200;
    private static final UpstreamId COLD = new UpstreamId("cold");

    @ParameterizedTest
    @CsvSource({"1", "6", "75", "95"})
    void coldInstanceGetsNoMoreThanItsCapacityFromAllHosts(int hosts) {
        long sent = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            for (double arrivals : new double[] {10, 52, 400}) {
                for (boolean quietFirst : new boolean[] {false, true}) {
                    ColdReturnReplay.Outcome outcome =
                            new ColdReturnReplay(seed, hosts)
                                    .simulate(arrivals, CAPACITY_PER_SECOND, quietFirst);
                    assertThat(outcome.maxInASecond())
                            .as(
                                    "seed %d, %s arrivals per second, quiet first %s",
                                    seed, arrivals, quietFirst)
                            .isLessThanOrEqualTo((int) MAX_IN_A_SECOND);
                    sent += arrivals > 50 && !quietFirst ? outcome.sent() : 0;
                }
            }
        }
        double perSecond = sent / (2.0 * SEEDS * 3);
        assertThat(perSecond)
                .as("the cold instance is used")
                .isGreaterThan(CAPACITY_PER_SECOND / 5);
    }

    @Test
    void hostThatDoesNotKnowTheHostCountSendsNothing() {
        ColdInstanceLimiter limiter = new ColdInstanceLimiter(new Random(1));
        limiter.update(Instances.coldInstance("cold", Duration.ofSeconds(3)));
        assertThat(limiter.allows(COLD, CAPACITY_PER_SECOND, 0)).isFalse();
        assertThat(limiter.allows(COLD, 0, 0)).isTrue();
    }

    @Test
    void warmInstanceGetsAllRequests() {
        ColdInstanceLimiter limiter = new ColdInstanceLimiter(new Random(1));
        limiter.update(Instances.coldInstance("cold", Duration.ofSeconds(3)));
        assertThat(limiter.allows(COLD, CAPACITY_PER_SECOND, 0)).isFalse();
        assertThat(limiter.allows(COLD, CAPACITY_PER_SECOND, Duration.ofSeconds(3).toNanos()))
                .isTrue();
        limiter.update(Instances.coldInstance("cold", Duration.ZERO));
        assertThat(limiter.allows(COLD, CAPACITY_PER_SECOND, 1)).isTrue();
    }
}
