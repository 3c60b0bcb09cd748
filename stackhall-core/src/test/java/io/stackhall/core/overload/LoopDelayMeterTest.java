package io.stackhall.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** What the lateness of a periodic task says about the delay of an event loop. */
class LoopDelayMeterTest {

    private final LoopDelayMeter meter = new LoopDelayMeter();
    private long now;

    /** Timers of an idle host are late by a millisecond, which must not count as load. */
    @Test
    void idleEventLoopHasNoDelay() {
        tick(10, 1);
        assertThat(meter.expectedDelay(now)).isZero();
        assertThat(meter.unnoticedNanos(0, now + meter.interval().toNanos())).isZero();
    }

    /** An estimate that needs many ticks comes too late where each takes 200 ms. */
    @Test
    void overloadIsSeenAfterThreeTicksAndItsEndAfterTwo() {
        tick(10, 0);
        tick(3, 200);
        assertThat(meter.expectedDelay(now)).isEqualTo(Duration.ofMillis(200));
        tick(2, 0);
        assertThat(meter.expectedDelay(now)).isZero();
    }

    /** A host that was suspended is not overloaded, although its task is late by seconds. */
    @Test
    void oneLongDelayIsNoOverload() {
        tick(10, 0);
        tick(1, 4980);
        assertThat(meter.expectedDelay(now)).isZero();
        tick(5, 0);
        assertThat(meter.expectedDelay(now)).isZero();
    }

    /** An estimate that stays in force without ticks would refuse requests for ever. */
    @Test
    void estimateEndsWithTheTicks() {
        tick(5, 200);
        assertThat(meter.expectedDelay(now + millis(1000))).isPositive();
        assertThat(meter.expectedDelay(now + millis(2100))).isZero();
        assertThat(meter.unnoticedNanos(0, now + Duration.ofMinutes(1).toNanos())).isZero();
    }

    /** What is read in a delayed iteration, or in the one after it, may have waited that long. */
    @Test
    void delayMayHidePartOfTheTimeSinceAMoment() {
        tick(5, 0);
        long sent = now + millis(10);
        long due = now + meter.interval().toNanos();
        assertThat(meter.unnoticedNanos(sent, due + millis(300))).isEqualTo(millis(300));
        tick(1, 300);
        assertThat(meter.unnoticedNanos(sent, now + millis(1))).isEqualTo(millis(300));
        assertThat(meter.unnoticedNanos(now - millis(50), now)).isEqualTo(millis(50));
        assertThat(meter.unnoticedNanos(now, now + millis(1))).isZero();
        tick(1, 0);
        assertThat(meter.unnoticedNanos(sent, now)).isZero();
    }

    /** A host with nothing to do was woken fifty times a second to find that out. */
    @Test
    void calmHostIsAskedLessOften() {
        tick(10, 0);
        assertThat(meter.interval()).isGreaterThanOrEqualTo(Duration.ofMillis(50));
        tick(1, 50);
        assertThat(meter.interval()).isEqualTo(LoopDelayMeter.TICK_INTERVAL);
    }

    private void tick(int times, long lateMillis) {
        for (int count = 0; count < times; count++) {
            now += meter.interval().toNanos() + millis(lateMillis);
            meter.tick(now);
        }
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
