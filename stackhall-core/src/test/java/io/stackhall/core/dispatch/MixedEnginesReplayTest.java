package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.dispatch.MixedEnginesReplay.Shares;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;

/**
 * Compares engines that report their slowdown with engines that don't, which are selected by tokens
 * alone, on the same requests. The failure: requests went to slow engines and to other zones while
 * a faster engine of the own zone had room.
 */
class MixedEnginesReplayTest {

    private static final int SEEDS = 6;
    private static final int FEW_HOSTS = 16;
    private static final int MANY_HOSTS = 57;

    @Test
    void moreRequestsAreInTimeAtMediumLoad() {
        assertThat(gain(FEW_HOSTS, 0.6, Shares::inTime)).isPositive();
        assertThat(gain(MANY_HOSTS, 0.6, Shares::inTime)).isGreaterThan(0.02);
    }

    @Test
    void moreRequestsAreInTimeNearSaturation() {
        assertThat(gain(FEW_HOSTS, 0.9, Shares::inTime)).isGreaterThan(0.15);
        assertThat(gain(MANY_HOSTS, 0.9, Shares::inTime)).isGreaterThan(0.15);
        assertThat(gain(FEW_HOSTS, 0.9, Shares::shortInTime)).isGreaterThan(0.15);
        assertThat(gain(MANY_HOSTS, 0.9, Shares::shortInTime)).isGreaterThan(0.15);
    }

    @Test
    void fewerRequestsLeaveTheirZone() {
        assertThat(gain(FEW_HOSTS, 0.6, Shares::otherZone)).isLessThan(-0.3);
        assertThat(gain(MANY_HOSTS, 0.6, Shares::otherZone)).isLessThan(-0.3);
        assertThat(gain(FEW_HOSTS, 0.9, Shares::otherZone)).isLessThan(-0.1);
        assertThat(gain(MANY_HOSTS, 0.9, Shares::otherZone)).isLessThan(-0.1);
    }

    /** Returns by how much a share is higher if engines report their slowdown. */
    private static double gain(int hosts, double utilisation, ToDoubleFunction<Shares> share) {
        double sum = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            MixedEnginesReplay reporting = new MixedEnginesReplay(seed, hosts, utilisation, true);
            MixedEnginesReplay silent = new MixedEnginesReplay(seed, hosts, utilisation, false);
            sum += share.applyAsDouble(reporting.shares()) - share.applyAsDouble(silent.shares());
        }
        return sum / SEEDS;
    }
}
