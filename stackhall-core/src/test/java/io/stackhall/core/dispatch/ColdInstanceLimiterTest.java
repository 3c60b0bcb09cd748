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
 * An instance that was back cold got all that each of many hosts had for it, several times what it
 * bears, and ended again.
 */
class ColdInstanceLimiterTest {

    private static final double CAPACITY_PER_SECOND = 11;

    /** Half as much again as it bears, and a few, is too much. */
    private static final double MAX_IN_A_SECOND = 1.5 * CAPACITY_PER_SECOND + 5;

    private static final int SEEDS = 200;
    private static final UpstreamId COLD = new UpstreamId("cold");

    @ParameterizedTest
    @CsvSource({"1", "6", "75", "95"})
    void coldInstanceGetsNoMoreThanItBearsFromAllHostsTogether(int hosts) {
        long sent = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            for (double asked : new double[] {10, 52, 400}) {
                for (boolean quietFirst : new boolean[] {false, true}) {
                    ColdReturnReplay.Outcome outcome =
                            new ColdReturnReplay(seed, hosts)
                                    .play(asked, CAPACITY_PER_SECOND, quietFirst);
                    assertThat(outcome.maxInASecond())
                            .as("seed %d asked %s quiet %s", seed, asked, quietFirst)
                            .isLessThanOrEqualTo((int) MAX_IN_A_SECOND);
                    sent += asked > 50 && !quietFirst ? outcome.sent() : 0;
                }
            }
        }
        double perSecond = sent / (2.0 * SEEDS * 3);
        assertThat(perSecond).as("is used all the same").isGreaterThan(CAPACITY_PER_SECOND / 5);
    }

    @Test
    void hostThatDoesNotKnowHowManyThereAreSendsNothing() {
        ColdInstanceLimiter share = new ColdInstanceLimiter(new Random(1));
        share.update(Instances.cold("cold", Duration.ofSeconds(3)));
        assertThat(share.allows(COLD, CAPACITY_PER_SECOND, 0)).isFalse();
        assertThat(share.allows(COLD, 0, 0)).isTrue();
    }

    @Test
    void instanceThatIsWarmAgainGetsWhateverComes() {
        ColdInstanceLimiter share = new ColdInstanceLimiter(new Random(1));
        share.update(Instances.cold("cold", Duration.ofSeconds(3)));
        assertThat(share.allows(COLD, CAPACITY_PER_SECOND, 0)).isFalse();
        assertThat(share.allows(COLD, CAPACITY_PER_SECOND, Duration.ofSeconds(3).toNanos()))
                .isTrue();
        share.update(Instances.cold("cold", Duration.ZERO));
        assertThat(share.allows(COLD, CAPACITY_PER_SECOND, 1)).isTrue();
    }
}
