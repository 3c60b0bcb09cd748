package io.stackhall.core.customer;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.customer.LimitSimulation.Deployment;
import io.stackhall.core.customer.LimitSimulation.Faults;
import io.stackhall.core.customer.LimitSimulation.Link;
import io.stackhall.core.customer.LimitSimulation.Result;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Compares three strategies to enforce limits over 89 hosts on the same requests: the leader counts
 * for all hosts, each host has a fixed share, or each host counts the requests that it is notified
 * of. Hosts receive less than one request a second of most customers, and one customer sends 4.2
 * times its limit.
 */
class LimitSimulationTest {

    private static final int SEEDS = 50;
    private static final int SHARE_SEEDS = 10;
    private static final Faults NONE = new Faults(false, 0, 0);
    private static final Faults OVERLOAD = new Faults(true, 0, 0);
    private static final Faults OVERLOAD_AND_LEADER_LOST = new Faults(true, 2000, 0);
    private static final Faults OVERLOAD_AND_PARTITION = new Faults(true, 0, 6000);

    /** 83 hosts, limits of 1.8 times the usual load, and customers at 4.5 times that load. */
    private static final LimitTolerance TIGHT =
            new LimitTolerance(Duration.ofSeconds(8), 0.1, 7400);

    private static final Set<Integer> LARGE = Set.of(0, 1);
    private static final Set<Integer> ALL =
            IntStream.range(0, LimitSimulation.CUSTOMERS).boxed().collect(Collectors.toSet());
    private static final List<Faults> OUTAGES =
            List.of(
                    new Faults(true, 0, 0),
                    new Faults(true, 1, 0),
                    new Faults(true, 2000, 0),
                    new Faults(true, 8000, 0),
                    new Faults(true, 0, 6000),
                    new Faults(true, 2000, 6000),
                    new Faults(true, 1, 6000),
                    new Faults(true, 0, 6000, Link.CLAIMS_ONLY),
                    new Faults(true, 2000, 6000, Link.CLAIMS_ONLY));

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

    /** Guards against hosts that run their shares while the leader grants them to others. */
    @Test
    void sharesInOutagesNeverExceedALimit() {
        for (Deployment deployment :
                List.of(tight(LARGE, 8000), tight(ALL, 8000), tight(ALL, 16_000))) {
            for (Faults faults : OUTAGES) {
                for (long seed = 0; seed < SHARE_SEEDS; seed++) {
                    assertThat(runWithShares(deployment, faults, seed).worstExcess())
                            .as("%s %s %d", deployment, faults, seed)
                            .isLessThanOrEqualTo(0);
                }
            }
        }
    }

    /** Guards against an outage in which the limits, which nobody else uses then, stay unused. */
    @Test
    void sharesServeMoreRequestsBelowTheLimitInAnOutage() {
        assertThat(refusedComparedToTolerance(new Faults(false, 2000, 0))).isLessThan(1);
        assertThat(refusedComparedToTolerance(new Faults(false, 8000, 0))).isLessThan(0.7);
        assertThat(refusedComparedToTolerance(new Faults(false, 0, 6000))).isLessThan(0.75);
    }

    /** Guards against shares that are reserved although all hosts are reachable. */
    @Test
    void reservationsRefuseNothingWhileAllHostsAreReachable() {
        assertThat(refusedComparedToTolerance(NONE)).isEqualTo(1);
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

    private static Deployment tight(Set<Integer> overloaded, long overloadAt) {
        return new Deployment(
                83, TIGHT, 1 / 1.8, 4.5 / 1.8, overloaded, overloadAt, Long.MAX_VALUE);
    }

    /** Returns the refused requests as a part of those refused without shares of the limits. */
    private static double refusedComparedToTolerance(Faults faults) {
        Deployment deployment = tight(LARGE, 8000);
        double shares = 0;
        double tolerance = 0;
        for (long seed = 0; seed < SHARE_SEEDS; seed++) {
            shares += runWithShares(deployment, faults, seed).refusedShare();
            LimitSimulation simulation = new LimitSimulation(seed, deployment, faults);
            tolerance += simulation.run(new LimitStrategies.Central(seed)).refusedShare();
        }
        return shares / tolerance;
    }

    private static Result runWithShares(Deployment deployment, Faults faults, long seed) {
        return new LimitSimulation(seed, deployment, faults)
                .run(new LimitStrategies.CentralWithShares(deployment, seed));
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
