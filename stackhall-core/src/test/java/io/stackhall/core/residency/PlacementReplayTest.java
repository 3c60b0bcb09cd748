package io.stackhall.core.residency;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.config.PolicyName;
import io.stackhall.core.policy.PlacementPolicy;
import org.junit.jupiter.api.Test;

/**
 * Compares placement policies under demand that shifts every eight seconds among more models than
 * there are model slots, beside many models that patient callers request rarely.
 */
class PlacementReplayTest {

    private static final int SEEDS = 3;

    @Test
    void nearestCopyServesBothKindsBetterThanLeastRecentlyUsed() {
        for (long seed = 0; seed < SEEDS; seed++) {
            PlacementReplay.Outcome nearest = run(seed, PolicyName.NEAREST_COPY);
            PlacementReplay.Outcome least = run(seed, PolicyName.LEAST_RECENTLY_USED);
            assertThat(nearest.urgentInTime()).isGreaterThan(least.urgentInTime());
            assertThat(nearest.patientInTime()).isGreaterThan(least.patientInTime());
        }
    }

    private static PlacementReplay.Outcome run(long seed, PolicyName policy) {
        return new PlacementReplay(
                        seed, PlacementPolicy.of(policy), (model, asked, nearest) -> asked)
                .run();
    }
}
