package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests how many prompts without an event an engine gets from one host. */
class PromptWindowTest {

    private static final Duration OBJECTIVE = Duration.ofMillis(800);

    private final PromptWindow window = new PromptWindow();

    @Test
    void fastEventsIncreaseTheWindow() {
        assertThat(admits(2)).isTrue();
        assertThat(admits(3)).isFalse();
        answer(100, 20);
        assertThat(admits(5)).isTrue();
    }

    @Test
    void slowEventsDecreaseTheWindowToOne() {
        answer(100, 20);
        answer(2000, 5);
        assertThat(admits(0)).isTrue();
        assertThat(admits(1)).isFalse();
    }

    @Test
    void furtherSlowEventsMakeAHostPauseBetweenPrompts() {
        answer(100, 20);
        answer(2000, 20);
        assertThat(window.admits(0, false, 1, Duration.ofSeconds(2).toNanos())).isFalse();
        assertThat(window.admits(0, false, 1, Duration.ofSeconds(17).toNanos())).isTrue();
        answer(100, 4);
        assertThat(admits(0)).isTrue();
        assertThat(admits(1)).isTrue();
    }

    @Test
    void shorterObjectiveDecreasesTheWindowSooner() {
        for (int i = 0; i < 3; i++) {
            window.recordFirstEvent(Duration.ofMillis(360).toNanos(), Duration.ofMillis(400));
        }
        assertThat(admits(1)).isFalse();
    }

    @Test
    void latePromptsFillAtMostHalfOfTheWindow() {
        answer(100, 20);
        assertThat(window.admits(2, true, 1, 0)).isTrue();
        assertThat(window.admits(4, true, 1, 0)).isFalse();
        assertThat(admits(4)).isTrue();
    }

    @Test
    void windowHasAMaximum() {
        answer(50, 10_000);
        assertThat(admits(15)).isTrue();
        assertThat(admits(16)).isFalse();
    }

    @Test
    void promptsPerSecondFollowsTheTimeToTheFirstEvent() {
        answer(500, 200);
        assertThat(window.promptsPerSecond()).isBetween(5.9, 6.1);
        answer(1000, 200);
        assertThat(window.promptsPerSecond()).isBetween(0.12, 0.13);
    }

    private boolean admits(int unanswered) {
        return window.admits(unanswered, false, 1, 0);
    }

    private void answer(long millis, int times) {
        for (int i = 0; i < times; i++) {
            window.recordFirstEvent(Duration.ofMillis(millis).toNanos(), OBJECTIVE);
        }
    }
}
