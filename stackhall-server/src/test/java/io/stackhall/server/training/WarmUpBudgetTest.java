package io.stackhall.server.training;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.server.training.WarmUpBudget.Step;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How long a warm-up goes on, and how fast. */
class WarmUpBudgetTest {

    /** What a small host that takes six seconds to start has left before its callers come. */
    private static final Duration TIME_BEFORE_TRAFFIC = Duration.ofSeconds(13);

    /** A warm-up that went on for longer would meet the callers of a host that starts late. */
    @Test
    void smallHostEndsBeforeItsCallersCome() {
        for (double share : new double[] {0.08, 0.12}) {
            Replay replay = new Replay(share, Duration.ofMillis(20));
            replay.run();
            long limit = Math.round(12_000 * share);
            assertThat(replay.used.toMillis()).isBetween(limit, limit + 20);
            assertThat(replay.elapsed).isLessThan(Duration.ofSeconds(14));
        }
    }

    @Test
    void largerHostEndsAtTheFixedBound() {
        Replay replay = new Replay(0.36, Duration.ofMillis(20));
        replay.run();
        assertThat(replay.used).isBetween(Duration.ofMillis(1500), Duration.ofMillis(1520));
    }

    // A small host was idle for half of the time before its callers came, and met them cold.
    @Test
    void hostWithNothingElseToDoUsesItsTimeBeforeTraffic() {
        Replay replay = new Replay(0.08, Duration.ofMillis(10));
        replay.runUntil(TIME_BEFORE_TRAFFIC);
        long share = Math.round(0.08 * TIME_BEFORE_TRAFFIC.toMillis());
        assertThat(replay.used.toMillis()).isGreaterThan(share * 4 / 5);
    }

    /** A host that uses up its share is throttled, and reads its configuration late. */
    @Test
    void paceStaysBelowTheShare() {
        Replay replay = new Replay(0.27, Duration.ofMillis(30));
        replay.run();
        assertThat(replay.mostOverShareMillis).isLessThanOrEqualTo(40);
    }

    /** A process whose time is not counted must not go on for ever, nor take all there is. */
    @Test
    void endsWithoutProcessorTime() {
        Replay replay = new Replay(0.36, Duration.ZERO);
        replay.run();
        assertThat(replay.elapsed).isLessThanOrEqualTo(Duration.ofSeconds(1));
    }

    /** A host whose calls are slow is not kept warming up for ever. */
    @Test
    void endsAfterSomeTimeWhateverItHasDone() {
        Replay replay = new Replay(0.36, Duration.ZERO);
        replay.waitPerCall = Duration.ofMillis(99);
        replay.run();
        assertThat(replay.elapsed).isBetween(Duration.ofSeconds(30), Duration.ofSeconds(31));
    }

    /** Calls that each take processor time, and at least a millisecond. */
    private static final class Replay {

        private final double share;
        private final Duration perCall;
        private final WarmUpBudget budget;
        private Duration used = Duration.ZERO;
        private Duration elapsed = Duration.ZERO;
        private Duration waitPerCall = Duration.ZERO;
        private double mostOverShareMillis;

        Replay(double share, Duration perCall) {
            this.share = share;
            this.perCall = perCall;
            this.budget = new WarmUpBudget(share, Duration.ofSeconds(1), 0);
        }

        void run() {
            runUntil(Duration.ofDays(1));
        }

        void runUntil(Duration end) {
            Step step = next();
            while (!(step instanceof Step.End) && elapsed.compareTo(end) < 0) {
                if (step instanceof Step.Pause(Duration time)) {
                    elapsed = elapsed.plus(time);
                } else {
                    used = used.plus(perCall);
                    elapsed = elapsed.plus(perCall).plus(waitPerCall).plusMillis(1);
                    mostOverShareMillis =
                            Math.max(
                                    mostOverShareMillis,
                                    used.toMillis() - share * elapsed.toMillis());
                }
                step = next();
            }
        }

        private Step next() {
            return budget.next(used.plusSeconds(1), elapsed.toNanos());
        }
    }
}
