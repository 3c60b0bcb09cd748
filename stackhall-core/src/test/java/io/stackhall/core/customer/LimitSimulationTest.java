package io.stackhall.core.customer;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.customer.LimitSimulation.Faults;
import io.stackhall.core.customer.LimitSimulation.Result;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;

/**
 * Three ways to keep limits over 89 hosts, on the same requests: the leader counts for all, each
 * host has a fixed share, each host counts what it hears of. Hosts see less than one request a
 * second of most customers, and one customer sends 4.2 times what it may.
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
        for (Faults trouble :
                new Faults[] {NONE, OVERLOAD, OVERLOAD_AND_LEADER_LOST, OVERLOAD_AND_PARTITION}) {
            assertThat(worst(trouble, LimitStrategies.Central::new).worstExcess())
                    .as("%s", trouble)
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

    /** The reason why limits are not shared out: most shares are less than one request. */
    @Test
    void fixedSharesRefuseManyRequestsBelowTheLimit() {
        assertThat(meanRefusedShare(NONE, seed -> new LimitStrategies.FixedShares()))
                .isGreaterThan(10 * MAX_REFUSED_SHARE);
    }

    /** The reason why hosts do not count for themselves: those that are cut off hear nothing. */
    @Test
    void gossipExceedsALimitDuringAPartition() {
        assertThat(
                        worst(OVERLOAD_AND_PARTITION, seed -> new LimitStrategies.Gossip())
                                .worstExcess())
                .isPositive();
    }

    private static Result worst(Faults trouble, LongFunction<LimitSimulation.Strategy> way) {
        Result worst = new Result(Double.NEGATIVE_INFINITY, 0);
        for (long seed = 0; seed < SEEDS; seed++) {
            Result one = new LimitSimulation(seed, trouble).run(way.apply(seed));
            worst = one.worstExcess() > worst.worstExcess() ? one : worst;
        }
        return worst;
    }

    private static double meanRefusedShare(
            Faults trouble, LongFunction<LimitSimulation.Strategy> way) {
        double sum = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            sum += new LimitSimulation(seed, trouble).run(way.apply(seed)).refusedShare();
        }
        return sum / SEEDS;
    }
}
