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

/** Tests a service of which some instances reject all requests for ten seconds. */
class RestReplayTest {

    private static final int SEEDS = 4;
    private static final int INSTANCES = 13;
    private static final double LOAD = 0.5;
    private static final double OVERLOAD_SECONDS = 10;
    private static final double REQUESTS_IN_OVERLOAD =
            LOAD * INSTANCES * 4 / 0.086 * OVERLOAD_SECONDS;

    /** A difference of the share of requests in time that counts as a loss. */
    private static final double TOLERANCE = 0.03;

    /** The number of requests of one host during one rest that is tolerated. */
    private static final int ALLOWED_IN_REST = 2;

    /** The retries that all hosts together may send, as a share of the requests. */
    private static final double RETRY_SHARE = 0.2;

    @Test
    void overloadedInstanceRejectsEachHostOncePerRest() {
        for (int hosts : new int[] {6, 95}) {
            for (double rest : new double[] {0.5, 3, 10}) {
                List<Outcome> outcomes = simulate(hosts, 1, Answer.REST, rest);
                double maxRejected = hosts * (1 + Math.ceil(OVERLOAD_SECONDS / rest));
                assertThat(outcomes).allMatch(outcome -> outcome.maxInRest() <= ALLOWED_IN_REST);
                assertThat(outcomes).allMatch(outcome -> outcome.rejected() <= maxRejected);
            }
        }
    }

    @Test
    void callersAreNotAffectedByAnOverloadedInstance() {
        for (Answer answer : List.of(Answer.REST, Answer.REJECT)) {
            double without = mean(simulate(95, 0, answer, 3), Outcome::inTime);
            assertThat(mean(simulate(95, 1, answer, 3), Outcome::inTimeInOverload))
                    .isGreaterThan(without - TOLERANCE);
        }
    }

    @Test
    void instanceIsUsedAgainSoonAfterItsLastRest() {
        for (int hosts : new int[] {6, 95}) {
            assertThat(simulate(hosts, 1, Answer.REST, 3))
                    .allMatch(outcome -> outcome.recoverySeconds() <= 3 * 1.25 + 1);
        }
    }

    @Test
    void rejectionsWithoutARestStayWithinTheRetryShare() {
        assertThat(simulate(95, 1, Answer.REJECT, 3))
                .allMatch(outcome -> outcome.rejected() <= RETRY_SHARE * REQUESTS_IN_OVERLOAD);
    }

    @Test
    void instanceThatFailsAtOnceAttractsLittleMoreThanItsShare() {
        double share = REQUESTS_IN_OVERLOAD / INSTANCES;
        assertThat(mean(simulate(95, 1, Answer.ERROR, 3), outcome -> outcome.rejected()))
                .isLessThan(1.5 * share);
    }

    private static List<Outcome> simulate(int hosts, int overloaded, Answer answer, double rest) {
        Duration time = Duration.ofMillis(Math.round(rest * 1000));
        Plan plan = new Plan(hosts, INSTANCES, overloaded, LOAD, answer, time);
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new RestReplay(seed, plan).simulate())
                .toList();
    }

    private static double mean(List<Outcome> outcomes, ToDoubleFunction<Outcome> what) {
        return outcomes.stream().mapToDouble(what).average().orElseThrow();
    }
}
