package io.stackhall.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.dispatch.RestReplay.Answer;
import io.stackhall.core.dispatch.RestReplay.Outcome;
import io.stackhall.core.dispatch.RestReplay.Plan;
import java.time.Duration;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Some instances of a plain service turn away what they get for ten seconds. */
class RestReplayTest {

    private static final int SEEDS = 4;
    private static final int INSTANCES = 13;
    private static final double LOAD = 0.5;
    private static final double OVERLOAD_SECONDS = 10;
    private static final double REQUESTS_IN_OVERLOAD =
            LOAD * INSTANCES * 4 / 0.086 * OVERLOAD_SECONDS;

    /** A share of the requests that counts as a loss. */
    private static final double TOLERANCE = 0.03;

    /** So many requests of a host in one rest are forgiven. */
    private static final int ALLOWED_IN_REST = 2;

    /** Resends that all hosts together may send, as a share of the requests. */
    private static final double RETRY_SHARE = 0.2;

    @Test
    void instanceInNeedTurnsEachHostAwayOnceInARest() {
        for (int hosts : new int[] {6, 95}) {
            for (double rest : new double[] {0.5, 3, 10}) {
                List<Outcome> all = play(hosts, 1, Answer.REST, rest);
                double most = hosts * (1 + Math.ceil(OVERLOAD_SECONDS / rest));
                assertThat(all).allMatch(one -> one.maxInRest() <= ALLOWED_IN_REST);
                assertThat(all).allMatch(one -> one.rejected() <= most);
            }
        }
    }

    @Test
    void callersMissNothingOfAnInstanceInNeed() {
        for (Answer answer : List.of(Answer.REST, Answer.REJECT)) {
            double without = mean(play(95, 0, answer, 3), Outcome::inTime);
            assertThat(mean(play(95, 1, answer, 3), Outcome::inTimeInOverload))
                    .isGreaterThan(without - TOLERANCE);
        }
    }

    @Test
    void instanceIsUsedAgainSoonAfterItsLastRest() {
        for (int hosts : new int[] {6, 95}) {
            assertThat(play(hosts, 1, Answer.REST, 3))
                    .allMatch(one -> one.recoverySeconds() <= 3 * 1.25 + 1);
        }
    }

    @Test
    void instanceThatRefusesWithoutAWordCostsNoMoreThanTheResendsAllowed() {
        assertThat(play(95, 1, Answer.REJECT, 3))
                .allMatch(one -> one.rejected() <= RETRY_SHARE * REQUESTS_IN_OVERLOAD);
    }

    @Test
    void instanceThatFailsAtOnceDrawsLittleMoreThanItsShare() {
        double share = REQUESTS_IN_OVERLOAD / INSTANCES;
        assertThat(mean(play(95, 1, Answer.ERROR, 3), one -> one.rejected()))
                .isLessThan(1.5 * share);
    }

    private static List<Outcome> play(int hosts, int inNeed, Answer answer, double rest) {
        Duration time = Duration.ofMillis(Math.round(rest * 1000));
        Plan plan = new Plan(hosts, INSTANCES, inNeed, LOAD, answer, time);
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new RestReplay(seed, plan).play())
                .toList();
    }

    private static double mean(List<Outcome> all, ToDoubleFunction<Outcome> what) {
        return all.stream().mapToDouble(what).average().orElseThrow();
    }
}
