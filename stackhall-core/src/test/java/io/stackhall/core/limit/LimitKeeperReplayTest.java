package io.stackhall.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Requests that only an upstream with a limit can serve, at 3 to 95 hosts. */
class LimitKeeperReplayTest {

    private static final int[] HOSTS = {3, 9, 30, 95};
    private static final double[] LIMITS = {0.5, 1, 5, 50};
    private static final int SEEDS = 5;
    private static final Duration NAMED = Duration.ofSeconds(2);
    private static final Duration KEPT = Duration.ofSeconds(3);
    private static final Duration END = Duration.ofSeconds(23);

    /** What an upstream has to get of its limit while enough wait for it alone. */
    private static final double USED_GOAL = 0.7;

    @Test
    void limitIsKeptAndUsedByAllHostsTogether() {
        for (int hosts : HOSTS) {
            for (double limit : LIMITS) {
                for (long seed = 0; seed < SEEDS; seed++) {
                    LimitPlay play = play(seed, hosts, limit).play(END, 3 * limit + 2);
                    assertThat(play.worstFourSeconds(KEPT, END))
                            .as("%d hosts, %s a second, seed %d", hosts, limit, seed)
                            .isLessThanOrEqualTo(bound(limit));
                    assertThat(play.perSecond(KEPT.plusSeconds(3), END))
                            .as("%d hosts, %s a second, seed %d", hosts, limit, seed)
                            .isGreaterThanOrEqualTo(USED_GOAL * limit);
                }
            }
        }
    }

    private static LimitPlay play(long seed, int hosts, double limit) {
        return new LimitPlay(seed, hosts).names(NAMED, OptionalDouble.of(limit));
    }

    /** The limit itself in four seconds, and what may be granted together. */
    private static int bound(double limit) {
        return (int) Math.ceil(4 * limit + 1 + Math.max(1, limit / 10)) + 1;
    }
}
