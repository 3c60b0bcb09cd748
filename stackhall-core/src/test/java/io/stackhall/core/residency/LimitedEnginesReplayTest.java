package io.stackhall.core.residency;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.config.PolicyName;
import io.stackhall.core.policy.PlacementPolicy;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Compares placement that leaves out engines with a request limit to placement by demand alone. Two
 * of thirteen engines accept one request per second, and there are more models than model slots.
 */
class LimitedEnginesReplayTest {

    private static final int SEEDS = 6;
    private static final int LIMITED = 2;
    private static final double PER_SECOND = 1;

    @Test
    void placingOnLimitedEnginesServesMoreInTimeThanLeavingThemOut() {
        assertThat(urgentInTime(false)).isGreaterThan(urgentInTime(true));
        assertThat(patientInTime(false)).isGreaterThan(patientInTime(true));
    }

    private static double urgentInTime(boolean leftOut) {
        return LongStream.range(0, SEEDS)
                .mapToDouble(seed -> run(seed, leftOut).urgentInTime())
                .average()
                .orElseThrow();
    }

    private static double patientInTime(boolean leftOut) {
        return LongStream.range(0, SEEDS)
                .mapToDouble(seed -> run(seed, leftOut).patientInTime())
                .average()
                .orElseThrow();
    }

    private static PlacementReplay.Outcome run(long seed, boolean leftOut) {
        return new PlacementReplay(
                        seed,
                        PlacementPolicy.of(PolicyName.NEAREST_COPY),
                        (model, asked, nearest) -> asked)
                .limited(LIMITED, PER_SECOND, leftOut)
                .run();
    }
}
