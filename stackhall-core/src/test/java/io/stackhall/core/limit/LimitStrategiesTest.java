package io.stackhall.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Compares three ways to enforce a limit of one request per second over nine hosts, at three
 * requests per second: queueing at the leader, retrying at the leader, and a fixed share per host.
 */
class LimitStrategiesTest {

    private static final int HOSTS = 9;
    private static final int SEEDS = 20;
    private static final double LIMIT = 1;
    private static final double DEMAND = 3;
    private static final Duration FROM = Duration.ofSeconds(6);
    private static final Duration END = Duration.ofSeconds(66);

    private static final double WELL_USED = 0.95;
    private static final Duration LATENCY_OBJECTIVE = Duration.ofMillis(800);

    /**
     * Mean result of one strategy.
     *
     * @param used the fraction of the limit that was used
     * @param refusedWaitMillis mean wait of the refused requests
     */
    private record Outcome(double used, double refusedWaitMillis) {}

    @Test
    void queueUsesTheLimitAndRefusesSoonest() {
        Outcome queue = mean(LimitStrategiesTest::queue);
        Outcome asking = mean(LimitStrategiesTest::retrying);
        Outcome shares = mean(LimitStrategiesTest::fixedShares);
        assertThat(queue.used()).isGreaterThan(WELL_USED);
        assertThat(shares.used()).isLessThan(WELL_USED);
        assertThat(queue.refusedWaitMillis()).isLessThan(asking.refusedWaitMillis() / 2);
        assertThat(asking.refusedWaitMillis()).isLessThan(shares.refusedWaitMillis());
    }

    /** Requests that wait beyond their latency objective only delay all others. */
    @Test
    void shortQueueServesAsManyRequestsSooner() {
        LimitSimulation longer = simulation(0).run(END, DEMAND);
        LimitSimulation shorter = simulation(0).callerTimeout(LATENCY_OBJECTIVE).run(END, DEMAND);
        assertThat(shorter.arrived(FROM, END))
                .isGreaterThanOrEqualTo((long) (WELL_USED * longer.arrived(FROM, END)));
        assertThat(longer.meanWait()).isGreaterThan(LATENCY_OBJECTIVE);
        assertThat(shorter.meanWait()).isLessThan(LATENCY_OBJECTIVE.dividedBy(2));
    }

    private static Outcome queue(long seed) {
        LimitSimulation simulation = simulation(seed).run(END, DEMAND);
        return new Outcome(
                simulation.perSecond(FROM, END) / LIMIT, simulation.meanWaitOfRefused().toMillis());
    }

    private static Outcome retrying(long seed) {
        RetryingHostsSimulation simulation =
                new RetryingHostsSimulation(seed, LIMIT).run(END, DEMAND);
        return new Outcome(
                simulation.perSecond(FROM, END) / LIMIT, simulation.meanWaitOfRefused().toMillis());
    }

    /** Hosts send fixed shares when no leader answers. */
    private static Outcome fixedShares(long seed) {
        LimitSimulation simulation =
                simulation(seed).disconnect(1, Duration.ofSeconds(3), END).run(END, DEMAND);
        return new Outcome(
                simulation.perSecond(FROM, END) / LIMIT, simulation.meanWaitOfRefused().toMillis());
    }

    private static Outcome mean(LongFunction<Outcome> way) {
        List<Outcome> all = LongStream.range(0, SEEDS).mapToObj(way).toList();
        return new Outcome(
                all.stream().mapToDouble(Outcome::used).average().orElseThrow(),
                all.stream().mapToDouble(Outcome::refusedWaitMillis).average().orElseThrow());
    }

    private static LimitSimulation simulation(long seed) {
        return new LimitSimulation(seed, HOSTS)
                .limitFrom(Duration.ofSeconds(2), OptionalDouble.of(LIMIT));
    }
}
