package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests how long a request waits. */
class WaitBudgetTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final Duration LOAD = Duration.ofMillis(2600);

    private final WaitBudget budget = new WaitBudget(4650 * MILLI);

    @Test
    void doesNotWaitForWhatCannotArriveInTime() {
        assertThat(budget.isExhausted(Duration.ofSeconds(9), 0)).isTrue();
    }

    @Test
    void keepsWaitingForALoadThatMayBeNearlyDone() {
        assertThat(budget.isExhausted(LOAD, 0)).isFalse();
        assertThat(budget.isExhausted(LOAD, 2100 * MILLI)).isFalse();
        assertThat(budget.isExhausted(LOAD, 4600 * MILLI)).isFalse();
        assertThat(budget.isExhausted(LOAD, 4650 * MILLI)).isTrue();
    }

    @Test
    void stopsAfterTwiceTheExpectedTime() {
        assertThat(budget.isExhausted(Duration.ofMillis(500), 0)).isFalse();
        assertThat(budget.isExhausted(Duration.ofMillis(500), 990 * MILLI)).isFalse();
        assertThat(budget.isExhausted(Duration.ofMillis(500), 1000 * MILLI)).isTrue();
    }

    @Test
    void longerExpectedWaitExtendsTheBudget() {
        assertThat(budget.isExhausted(Duration.ofMillis(500), 0)).isFalse();
        assertThat(budget.isExhausted(LOAD, 900 * MILLI)).isFalse();
        assertThat(budget.isExhausted(LOAD, 3000 * MILLI)).isFalse();
    }

    @Test
    void waitsForSlotUntilTheDeadline() {
        assertThat(budget.isExhausted(Duration.ZERO, 0)).isFalse();
        assertThat(budget.isExhausted(Duration.ZERO, 4600 * MILLI)).isFalse();
        assertThat(budget.isExhausted(Duration.ZERO, 4650 * MILLI)).isTrue();
    }
}
