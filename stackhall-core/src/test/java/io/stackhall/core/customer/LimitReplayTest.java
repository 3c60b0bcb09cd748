package io.stackhall.core.customer;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.customer.LimitReplay.Outcome;
import io.stackhall.core.customer.LimitReplay.Trouble;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;

/**
 * Three ways to keep limits over 89 hosts, on the same requests: the leader counts for all, each
 * host has a fixed share, each host counts what it hears of. Hosts see less than one request a
 * second of most customers, and one customer sends 4.2 times what it may.
 */
class LimitReplayTest {

    private static final int SEEDS = 50;
    private static final Trouble CALM = new Trouble(false, 0, 0);
    private static final Trouble HOT = new Trouble(true, 0, 0);
    private static final Trouble HOT_AND_LEADER_LOST = new Trouble(true, 2000, 0);
    private static final Trouble HOT_AND_THIRD_CUT = new Trouble(true, 0, 6000);

    private static final double BELOW_REFUSED_GOAL = 0.005;

    @Test
    void oneKeeperNeverExceedsALimit() {
        for (Trouble trouble : new Trouble[] {CALM, HOT, HOT_AND_LEADER_LOST, HOT_AND_THIRD_CUT}) {
            assertThat(worst(trouble, LimitWays.OneKeeper::new).worstBeyond())
                    .as("%s", trouble)
                    .isLessThanOrEqualTo(0);
        }
    }

    @Test
    void oneKeeperRefusesHardlyAnybodyBelowTheLimit() {
        assertThat(mean(CALM, LimitWays.OneKeeper::new)).isLessThan(BELOW_REFUSED_GOAL);
        assertThat(mean(HOT, LimitWays.OneKeeper::new)).isLessThan(BELOW_REFUSED_GOAL);
    }

    /** The reason why limits are not shared out: most shares are less than one request. */
    @Test
    void fixedSharesRefuseManyBelowTheLimit() {
        assertThat(mean(CALM, seed -> new LimitWays.FixedShares()))
                .isGreaterThan(10 * BELOW_REFUSED_GOAL);
    }

    /** The reason why hosts do not count for themselves: those that are cut off hear nothing. */
    @Test
    void gossipExceedsALimitWhileHostsAreCutOff() {
        assertThat(worst(HOT_AND_THIRD_CUT, seed -> new LimitWays.Gossip()).worstBeyond())
                .isPositive();
    }

    private static Outcome worst(Trouble trouble, LongFunction<LimitReplay.Way> way) {
        Outcome worst = new Outcome(Double.NEGATIVE_INFINITY, 0);
        for (long seed = 0; seed < SEEDS; seed++) {
            Outcome one = new LimitReplay(seed, trouble).play(way.apply(seed));
            worst = one.worstBeyond() > worst.worstBeyond() ? one : worst;
        }
        return worst;
    }

    private static double mean(Trouble trouble, LongFunction<LimitReplay.Way> way) {
        double sum = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            sum += new LimitReplay(seed, trouble).play(way.apply(seed)).refusedBelow();
        }
        return sum / SEEDS;
    }
}
