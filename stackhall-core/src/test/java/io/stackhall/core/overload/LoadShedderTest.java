package io.stackhall.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What follows from a given delay of the event loop. */
class LoadShedderTest {

    private static final Duration REMAINING = Duration.ofSeconds(3);

    private final LoadShedder shedder = new LoadShedder(new Random(1));
    private long now;

    @Test
    void nothingIsRefusedWhileTheShortestObjectiveIsReachable() {
        setObjectives();
        assertThat(update(Duration.ofMillis(12), 100)).isEqualTo(LoadShedder.Change.NONE);
        assertThat(shedder.share(2)).isZero();
        assertThat(update(Duration.ofMillis(40), 100)).isEqualTo(LoadShedder.Change.STARTED);
        assertThat(shedder.share(2)).isBetween(0.4, 0.7);
    }

    /** A rank whose requests are refused before all less urgent ones are pays for their load. */
    @Test
    void aRankIsRefusedOnlyOnceAllLessUrgentOnesAre() {
        setObjectives();
        for (int millis = 1; millis < 400; millis++) {
            update(Duration.ofMillis(millis), 10);
            assertThat(shedder.share(1) == 0 || shedder.share(2) == 1).isTrue();
            assertThat(shedder.share(0) == 0 || shedder.share(1) == 1).isTrue();
        }
        assertThat(shedder.share(0)).isOne();
    }

    /**
     * Callers honour a delay of up to a third; equal delays would bring all of them back at once.
     */
    @Test
    void retryDelaysAreSpreadBelowAThirdOfTheRemainingTime() {
        setObjectives();
        update(Duration.ofMillis(500), 100);
        Set<Duration> delays = new HashSet<>();
        for (int count = 0; count < 100; count++) {
            Duration delay = shedder.refuse(2, REMAINING, now).orElseThrow();
            assertThat(delay).isBetween(Duration.ofMillis(750), Duration.ofSeconds(1));
            delays.add(delay);
        }
        assertThat(delays).hasSizeGreaterThan(90);
    }

    /** A meter that has failed would otherwise leave the last share in force. */
    @Test
    void nothingIsRefusedWithoutUpdates() {
        setObjectives();
        update(Duration.ofMillis(500), 100);
        assertThat(shedder.refuse(2, REMAINING, now + seconds(1))).isPresent();
        assertThat(shedder.refuse(2, REMAINING, now + seconds(3))).isEmpty();
    }

    @Test
    void sheddingEndsOnceAfterTheDelay() {
        setObjectives();
        update(Duration.ofMillis(500), 100);
        int ended = 0;
        for (int count = 0; count < 300; count++) {
            ended += update(Duration.ZERO, 1) == LoadShedder.Change.ENDED ? 1 : 0;
        }
        assertThat(ended).isOne();
        assertThat(shedder.isShedding(now)).isFalse();
    }

    @Test
    void nothingIsRefusedBeforeObjectivesAreKnown() {
        assertThat(update(Duration.ofMillis(500), 100)).isEqualTo(LoadShedder.Change.NONE);
        assertThat(shedder.refuse(2, REMAINING, now)).isEqualTo(Optional.empty());
    }

    private void setObjectives() {
        shedder.setObjectives(
                Map.of(
                        0, Duration.ofMillis(500),
                        1, Duration.ofMillis(500),
                        2, Duration.ofMillis(100)));
    }

    /** Updates with the same delay until it is in full effect. */
    private LoadShedder.Change update(Duration delay, int ticks) {
        LoadShedder.Change last = LoadShedder.Change.NONE;
        for (int count = 0; count < ticks; count++) {
            now += LoopDelayMeter.TICK_INTERVAL.toNanos();
            LoadShedder.Change change = shedder.update(delay, now);
            last = change == LoadShedder.Change.NONE ? last : change;
        }
        return last;
    }

    private static long seconds(long seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }
}
