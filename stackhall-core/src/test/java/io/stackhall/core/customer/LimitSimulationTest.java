package io.stackhall.core.customer;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.customer.LimitSimulation.Faults;
import io.stackhall.core.customer.LimitSimulation.Result;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;

/**
 * Compares three strategies to enforce limits over 89 hosts on the same requests: the leader counts
 * for all hosts, each host has a fixed share, or each host counts the requests that it is notified
 * of. Hosts receive less than one request a second of most customers, and one customer sends 4.2
 * times its limit.
 */
class LimitSimulationTest {

    private static final int SEEDS = 50;
    private static final Faults NONE = new Faults(false, 0, 0);
    private static final Faults OVERLOAD = new Faults(true, 0, 0);
    private static final Faults OVERLOAD_AND_LEADER_LOST = new Faults(true, 2000, 0);
    private static final Faults OVERLOAD_AND_PARTITION = new Faults(true, 0, 6000);

    private static final double MAX_REFUSED_SHARE = 0.005;

    @Test
    void centralCountingNeverExceedsALimit() {
        for (Faults faults :
                new Faults[] {NONE, OVERLOAD, OVERLOAD_AND_LEADER_LOST, OVERLOAD_AND_PARTITION}) {
            assertThat(worst(faults, LimitStrategies.Central::new).worstExcess())
                    .as("%s", faults)
                    .isLessThanOrEqualTo(0);
        }
    }

    @Test
    void centralCountingRefusesHardlyAnyRequestBelowTheLimit() {
        assertThat(meanRefusedShare(NONE, LimitStrategies.Central::new))
                .isLessThan(MAX_REFUSED_SHARE);
        assertThat(meanRefusedShare(OVERLOAD, LimitStrategies.Central::new))
                .isLessThan(MAX_REFUSED_SHARE);
    }

    /** Limits are not divided among hosts because most shares are less than one request. */
    @Test
    void fixedSharesRefuseManyRequestsBelowTheLimit() {
        assertThat(meanRefusedShare(NONE, seed -> new LimitStrategies.FixedShares()))
                .isGreaterThan(10 * MAX_REFUSED_SHARE);
    }

    /** Hosts do not count by themselves because hosts that are cut off receive no notices. */
    @Test
    void gossipExceedsALimitDuringAPartition() {
        assertThat(
                        worst(OVERLOAD_AND_PARTITION, seed -> new LimitStrategies.Gossip())
                                .worstExcess())
                .isPositive();
    }

    private static Result worst(Faults faults, LongFunction<LimitSimulation.Strategy> strategy) {
        Result worst = new Result(Double.NEGATIVE_INFINITY, 0);
        for (long seed = 0; seed < SEEDS; seed++) {
            Result one = new LimitSimulation(seed, faults).run(strategy.apply(seed));
            worst = one.worstExcess() > worst.worstExcess() ? one : worst;
        }
        return worst;
    }

    private static double meanRefusedShare(
            Faults faults, LongFunction<LimitSimulation.Strategy> strategy) {
        double sum = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            sum += new LimitSimulation(seed, faults).run(strategy.apply(seed)).refusedShare();
        }
        return sum / SEEDS;
    }
}
