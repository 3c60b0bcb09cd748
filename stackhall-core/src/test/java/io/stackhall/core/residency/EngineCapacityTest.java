package io.stackhall.core.residency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.stackhall.core.dispatch.InstanceWork;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests of the estimated engine capacity. */
class EngineCapacityTest {

    private static final UpstreamId ENGINE = new UpstreamId("e");
    private static final long STEP = Duration.ofMillis(100).toNanos();

    private final EngineCapacity capacity = new EngineCapacity();
    private long now;

    @Test
    void rateAnsweredInTimeIsWithinCapacity() {
        recordAnswers(3, 0, 30);
        assertThat(capacity.requestsPerSecond()).isCloseTo(30, within(3.0));
    }

    @Test
    void rateAnsweredSlowlyIsBeyondCapacity() {
        recordAnswers(3, 0, 30);
        recordAnswers(1, 1, 300);
        assertThat(capacity.requestsPerSecond()).isBetween(10.0, 15.0);
    }

    @Test
    void fewAnswersLeaveTheEstimateUnchanged() {
        for (int i = 0; i < 20; i++) {
            now += 5 * STEP;
            capacity.recordWork(Map.of(ENGINE, new InstanceWork(1, 1, 1)), now);
        }
        assertThat(capacity.requestsPerSecond()).isEqualTo(8);
    }

    private void recordAnswers(int answered, int slow, int times) {
        for (int i = 0; i < times; i++) {
            now += STEP;
            capacity.recordWork(Map.of(ENGINE, new InstanceWork(9, answered, slow)), now);
        }
    }
}
