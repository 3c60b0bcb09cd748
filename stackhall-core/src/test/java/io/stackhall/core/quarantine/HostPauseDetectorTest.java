package io.stackhall.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Whether a moment lies before a pause of the process. */
class HostPauseDetectorTest {

    private final HostPauseDetector pauses = new HostPauseDetector(0);

    @Test
    void regularTicksShowNoPause() {
        for (int tick = 1; tick <= 50; tick++) {
            pauses.tick(millis(100L * tick));
        }
        assertThat(pauses.pausedSince(millis(50), millis(5100))).isFalse();
    }

    @Test
    void momentsBeforeAPauseArePausedSinceAndLaterOnesAreNot() {
        pauses.tick(millis(100));
        assertThat(pauses.pausedSince(millis(90), millis(4000))).isTrue();
        pauses.tick(millis(4100));
        assertThat(pauses.pausedSince(millis(90), millis(4150))).isTrue();
        assertThat(pauses.pausedSince(millis(4050), millis(4200))).isFalse();
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
