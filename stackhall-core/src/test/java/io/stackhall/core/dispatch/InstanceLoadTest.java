package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.overload.LoopDelayMeter;
import java.time.Duration;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/**
 * Tests how many prompts an engine gets from one host when it is slowed down for 600 ms. The
 * failure: the slow answers of that time closed the prompt window, and the host then paused for
 * seconds between two prompts.
 */
class InstanceLoadTest {

    private static final Duration OBJECTIVE = Duration.ofMillis(400);
    private static final long USUAL_MILLIS = 145;
    private static final double SLOWDOWN = 2.5;
    private static final long SLOWED_FROM = 10_000;
    private static final long SLOWED_UNTIL = 10_600;
    private static final long INTERVAL = 50;

    private final InstanceLoad load = new InstanceLoad(new LoopDelayMeter());

    @Test
    void windowIsAsWideAfterASlowdownAsBefore() {
        answerUntil(SLOWED_FROM, 1, true);
        int before = admitted(SLOWED_FROM);
        answerUntil(SLOWED_UNTIL, SLOWDOWN, true);
        answerAt(SLOWED_UNTIL, SLOWDOWN, OptionalDouble.of(1));
        assertThat(admitted(SLOWED_UNTIL + 3000)).isGreaterThanOrEqualTo(before);
    }

    @Test
    void fewerPromptsAreSentDuringASlowdown() {
        answerUntil(SLOWED_FROM, 1, true);
        int before = admitted(SLOWED_FROM);
        answerUntil(SLOWED_UNTIL, SLOWDOWN, true);
        assertThat(admitted(SLOWED_UNTIL - INTERVAL)).isPositive().isLessThan(before);
    }

    @Test
    void slowAnswersNarrowTheWindowOfAnEngineThatReportsNoSlowdown() {
        answerUntil(SLOWED_FROM, 1, false);
        int before = admitted(SLOWED_FROM);
        answerUntil(SLOWED_UNTIL, SLOWDOWN, false);
        assertThat(admitted(SLOWED_UNTIL + 3000)).isLessThan(before / 2);
    }

    /** Answers one prompt every 50 ms in the 600 ms before the given time. */
    private void answerUntil(long until, double slowdown, boolean reported) {
        for (long at = until - 600; at < until; at += INTERVAL) {
            answerAt(at, slowdown, reported ? OptionalDouble.of(slowdown) : OptionalDouble.empty());
        }
    }

    private void answerAt(long at, double slowdown, OptionalDouble reported) {
        long startedAt = nanos(at - Math.round(USUAL_MILLIS * slowdown));
        load.requestSent(0, startedAt);
        load.updateReported(1, reported, nanos(at));
        load.responseStarted(0, startedAt);
        load.recordFirstEvent(nanos(at) - startedAt, OBJECTIVE, nanos(at));
        load.servedRequestEnded(nanos(at) - startedAt, nanos(at));
    }

    private int admitted(long at) {
        int count = 0;
        while (load.admitsPrompt(false, nanos(at))) {
            load.requestSent(0, nanos(at));
            count++;
        }
        for (int sent = 0; sent < count; sent++) {
            load.responseStarted(0, nanos(at));
        }
        return count;
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
