package io.stackhall.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What follows from a given delay of the event loop. */
class LoadShedderTest {

    private static final Duration REMAINING = Duration.ofSeconds(3);
    private static final RequestClass FIRST = new RequestClass(0, Duration.ofMillis(500));
    private static final RequestClass SECOND = new RequestClass(1, Duration.ofMillis(500));
    private static final RequestClass THIRD = new RequestClass(2, Duration.ofMillis(100));

    private final LoadShedder shedder = new LoadShedder(new Random(1));
    private long now;

    @Test
    void nothingIsRefusedWhileTheShortestObjectiveIsReachable() {
        setClasses();
        assertThat(update(Duration.ofMillis(12), 100)).isEqualTo(LoadShedder.Change.NONE);
        assertThat(shedder.refusedShare(THIRD)).isZero();
        assertThat(update(Duration.ofMillis(40), 100)).isEqualTo(LoadShedder.Change.STARTED);
        assertThat(shedder.refusedShare(THIRD)).isBetween(0.4, 0.7);
    }

    /** A rank whose requests are refused before all less urgent ones are pays for their load. */
    @Test
    void aRankIsRefusedOnlyOnceAllLessUrgentOnesAre() {
        setClasses();
        for (int millis = 1; millis < 400; millis++) {
            update(Duration.ofMillis(millis), 10);
            assertThat(shedder.refusedShare(SECOND) == 0 || shedder.refusedShare(THIRD) == 1)
                    .isTrue();
            assertThat(shedder.refusedShare(FIRST) == 0 || shedder.refusedShare(SECOND) == 1)
                    .isTrue();
        }
        assertThat(shedder.refusedShare(FIRST)).isOne();
    }

    /**
     * Callers honour a delay of up to a third; equal delays would bring all of them back at once.
     */
    @Test
    void retryDelaysAreSpreadBelowAThirdOfTheRemainingTime() {
        setClasses();
        update(Duration.ofMillis(500), 100);
        Set<Duration> delays = new HashSet<>();
        for (int count = 0; count < 100; count++) {
            Duration delay = shedder.refuse(THIRD, REMAINING, now).orElseThrow();
            assertThat(delay).isBetween(Duration.ofMillis(750), Duration.ofSeconds(1));
            delays.add(delay);
        }
        assertThat(delays).hasSizeGreaterThan(90);
    }

    /** A meter that has failed would otherwise leave the last share in force. */
    @Test
    void nothingIsRefusedWithoutUpdates() {
        setClasses();
        update(Duration.ofMillis(500), 100);
        assertThat(shedder.refuse(THIRD, REMAINING, now + seconds(1))).isPresent();
        assertThat(shedder.refuse(THIRD, REMAINING, now + seconds(3))).isEmpty();
    }

    @Test
    void sheddingEndsOnceAfterTheDelay() {
        setClasses();
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
        assertThat(shedder.refuse(THIRD, REMAINING, now)).isEqualTo(Optional.empty());
    }

    /** Requests that may still be in time after a retry would be admitted before urgent ones. */
    @Test
    void ofTheSameRankTheLongestObjectiveIsRefusedFirst() {
        RequestClass patient = new RequestClass(2, Duration.ofSeconds(10));
        shedder.setClasses(List.of(FIRST, SECOND, THIRD, patient));
        for (int millis = 1; millis < 400; millis++) {
            update(Duration.ofMillis(millis), 10);
            assertThat(shedder.refusedShare(THIRD) == 0 || shedder.refusedShare(patient) == 1)
                    .isTrue();
        }
        assertThat(shedder.refusedShare(THIRD)).isOne();
    }

    private void setClasses() {
        shedder.setClasses(List.of(FIRST, SECOND, THIRD));
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
