package io.stackhall.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Simulates requests that only an upstream with a limit can serve, arriving at 3 to 95 hosts. */
class LimitManagerReplayTest {

    private static final int[] HOSTS = {3, 9, 30, 95};
    private static final double[] LIMITS = {0.5, 1, 5, 50};
    private static final int SEEDS = 5;
    private static final Duration LIMIT_FROM = Duration.ofSeconds(2);
    private static final Duration CHECKED_FROM = Duration.ofSeconds(3);
    private static final Duration END = Duration.ofSeconds(23);

    /**
     * The fraction of its limit that an upstream must receive while enough requests wait for it.
     */
    private static final double MIN_UTILIZATION = 0.7;

    @Test
    void limitIsKeptAndUsedByAllHostsTogether() {
        for (int hosts : HOSTS) {
            for (double limit : LIMITS) {
                for (long seed = 0; seed < SEEDS; seed++) {
                    LimitSimulation simulation =
                            simulation(seed, hosts, limit).run(END, 3 * limit + 2);
                    assertThat(simulation.worstFourSeconds(CHECKED_FROM, END))
                            .as("%d hosts, %s a second, seed %d", hosts, limit, seed)
                            .isLessThanOrEqualTo(bound(limit));
                    assertThat(simulation.perSecond(CHECKED_FROM.plusSeconds(3), END))
                            .as("%d hosts, %s a second, seed %d", hosts, limit, seed)
                            .isGreaterThanOrEqualTo(MIN_UTILIZATION * limit);
                }
            }
        }
    }

    private static LimitSimulation simulation(long seed, int hosts, double limit) {
        return new LimitSimulation(seed, hosts).limitFrom(LIMIT_FROM, OptionalDouble.of(limit));
    }

    /** The limit over four seconds, plus the burst that may be granted at once. */
    private static int bound(double limit) {
        return (int) Math.ceil(4 * limit + 1 + Math.max(1, limit / 10)) + 1;
    }
}
