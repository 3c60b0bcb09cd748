package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How many unread prompts an engine gets from one host. */
class PromptWindowTest {

    private final PromptWindow window = new PromptWindow();

    @Test
    void quickEventsOpenIt() {
        assertThat(window.admits(2)).isTrue();
        assertThat(window.admits(3)).isFalse();
        answer(100, 20);
        assertThat(window.admits(5)).isTrue();
    }

    @Test
    void slowEventsCloseItDownToOne() {
        answer(100, 20);
        answer(2000, 20);
        assertThat(window.admits(0)).isTrue();
        assertThat(window.admits(1)).isFalse();
    }

    @Test
    void itNeverOpensWithoutBound() {
        answer(50, 10_000);
        assertThat(window.admits(15)).isTrue();
        assertThat(window.admits(16)).isFalse();
    }

    @Test
    void placesComeAsFastAsPromptsAreRead() {
        answer(1000, 200);
        assertThat(window.placesPerSecond()).isBetween(0.9, 1.1);
    }

    private void answer(long millis, int times) {
        for (int i = 0; i < times; i++) {
            window.answeredAfter(Duration.ofMillis(millis).toNanos());
        }
    }
}
