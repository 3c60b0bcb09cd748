package io.stackhall.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.UpstreamId;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Instances that are back before anybody could see that they had ended. */
class UnexplainedEndsTest {

    private static final UpstreamId FIRST = new UpstreamId("i-1", 1000);
    private static final UpstreamId SECOND = new UpstreamId("i-1", 1700);
    private static final RequestDigest REQUEST =
            RequestDigest.of("GET", "h", "/x", "b".getBytes(StandardCharsets.UTF_8));

    private final UnexplainedEnds ends = new UnexplainedEnds();

    @Test
    void laterLifeExplainsTheEndOfTheOneBefore() {
        ends.left(FIRST, REQUEST, 0);
        assertThat(ends.heardOf(SECOND, seconds(1)))
                .containsExactly(new Crash(FIRST, Set.of(REQUEST)));
        assertThat(ends.heardOf(SECOND, seconds(1))).isEmpty();
    }

    @Test
    void sameLifeOtherNamesAndLatecomersExplainNothing() {
        ends.left(FIRST, REQUEST, 0);
        assertThat(ends.heardOf(FIRST, seconds(1))).isEmpty();
        assertThat(ends.heardOf(new UpstreamId("i-2", 1700), seconds(1))).isEmpty();
        assertThat(ends.heardOf(SECOND, seconds(6))).isEmpty();
    }

    @Test
    void endThatIsFoundOtherwiseIsHeldAgainstWhatLeftBefore() {
        ends.left(FIRST, REQUEST, 0);
        assertThat(ends.takeThoseOf(SECOND, seconds(1))).isEmpty();
        assertThat(ends.takeThoseOf(FIRST, seconds(1))).containsExactly(REQUEST);
        assertThat(ends.takeThoseOf(FIRST, seconds(1))).isEmpty();
    }

    @Test
    void whatLeftLongBeforeIsHeldToNothing() {
        ends.left(FIRST, REQUEST, 0);
        assertThat(ends.takeThoseOf(FIRST, seconds(6))).isEmpty();
    }

    private static long seconds(long seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }
}
