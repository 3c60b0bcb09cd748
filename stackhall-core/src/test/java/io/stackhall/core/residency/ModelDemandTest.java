package io.stackhall.core.residency;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests of the demand estimate. */
class ModelDemandTest {

    private static final ModelId MODEL = new ModelId("m");
    private static final HostId HOST = new HostId("h");

    private final ModelDemand demand = new ModelDemand();

    @Test
    void severalCopiesAtTheStartCountAsDemandUntilRequestsArrive() {
        demand.assumeDemand(MODEL, 2);
        assertThat(demand.ratePerSecond(MODEL, at(60_000))).isEqualTo(6);
        demand.recordReport(HOST, Map.of(new ModelId("other"), 1), Map.of(), at(60_000));
        assertThat(demand.ratePerSecond(MODEL, at(64_000))).isEqualTo(6);
        assertThat(demand.ratePerSecond(MODEL, at(66_000))).isZero();
    }

    @Test
    void oneCopyImpliesNoDemand() {
        demand.assumeDemand(MODEL, 1);
        assertThat(demand.ratePerSecond(MODEL, at(0))).isZero();
    }

    @Test
    void riseShowsWithinTwoSecondsAndFallLater() {
        for (int tenth = 1; tenth <= 20; tenth++) {
            demand.recordReport(HOST, Map.of(MODEL, 1), Map.of(), at(tenth * 100L));
        }
        assertThat(demand.ratePerSecond(MODEL, at(2000))).isBetween(4.5, 6.0);
        assertThat(demand.ratePerSecond(MODEL, at(10_000))).isGreaterThan(0.7);
    }

    /** Demand of 30 requests a second for one model that stops at once. */
    @Test
    void fallOfABusyModelIsAcceptedWithinFiveSeconds() {
        for (int tenth = 1; tenth <= 100; tenth++) {
            demand.recordReport(HOST, Map.of(MODEL, 3), Map.of(), at(tenth * 100L));
        }
        assertThat(demand.ratePerSecond(MODEL, at(10_000))).isGreaterThan(25);
        assertThat(demand.ratePerSecond(MODEL, at(15_000))).isLessThan(6);
    }

    @Test
    void waitingForAModelThatNoEngineServesAccumulates() {
        demand.recordReport(HOST, Map.of(MODEL, 1), Map.of(MODEL, 1), at(0));
        assertThat(demand.starvedSeconds(MODEL, false, at(0))).isZero();
        assertThat(demand.starvedSeconds(MODEL, false, at(1500))).isEqualTo(1.5);
        assertThat(demand.starvedSeconds(MODEL, true, at(1600))).isZero();
    }

    private static long at(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
