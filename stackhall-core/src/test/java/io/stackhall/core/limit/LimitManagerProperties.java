package io.stackhall.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.OptionalDouble;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that a limit is kept while hosts and control hosts are disconnected, paused, restarted and
 * replaced.
 */
class LimitManagerProperties {

    private static final Duration LIMIT_FROM = Duration.ofSeconds(2);
    private static final Duration CHECKED_FROM = Duration.ofSeconds(3);
    private static final Duration END = Duration.ofSeconds(20);

    @Property(tries = 150)
    void limitIsKeptWhenHostsAndControlHostsFail(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 40) int hosts,
            @ForAll @DoubleRange(min = 0.2, max = 20) double limit,
            @ForAll @DoubleRange(min = 0, max = 1) double cut,
            @ForAll @IntRange(min = 3000, max = 12000) int cutAt,
            @ForAll @IntRange(min = 0, max = 9000) int cutFor,
            @ForAll @IntRange(min = 3000, max = 15000) int frozenAt,
            @ForAll @IntRange(min = 300, max = 4000) int leaderLostFor) {
        LimitSimulation simulation =
                new LimitSimulation(seed, hosts)
                        .limitFrom(LIMIT_FROM, OptionalDouble.of(limit))
                        .disconnect(cut, Duration.ofMillis(cutAt), Duration.ofMillis(cutFor))
                        .pause(0.2, Duration.ofMillis(frozenAt), Duration.ofMillis(1500))
                        .restart(0.3, Duration.ofMillis(frozenAt + 2500))
                        .loseLeader(
                                Duration.ofMillis(3000 + cutFor), Duration.ofMillis(leaderLostFor))
                        .run(END, 4 * limit + 5);
        assertThat(simulation.worstFourSeconds(CHECKED_FROM, END))
                .isLessThanOrEqualTo(tolerated(limit));
    }

    @Property(tries = 100)
    void changedAndEndedLimitsReachAllHosts(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 40) int hosts,
            @ForAll @DoubleRange(min = 2, max = 5) double first) {
        LimitSimulation simulation =
                new LimitSimulation(seed, hosts)
                        .limitFrom(LIMIT_FROM, OptionalDouble.of(first))
                        .limitFrom(Duration.ofSeconds(7), OptionalDouble.of(first / 2))
                        .limitFrom(Duration.ofSeconds(12), OptionalDouble.empty())
                        .run(Duration.ofSeconds(24), 12);
        assertThat(simulation.worstFourSeconds(Duration.ofSeconds(8), Duration.ofSeconds(12)))
                .isLessThanOrEqualTo(tolerated(first / 2));
        assertThat(simulation.worstFourSeconds(Duration.ofSeconds(12), Duration.ofSeconds(14)))
                .as("requests do not return all at once")
                .isLessThanOrEqualTo(tolerated(2 * first));
        Duration from = Duration.ofSeconds(20);
        Duration to = Duration.ofSeconds(24);
        assertThat(simulation.arrived(from, to))
                .as("all requests are served, except one that arrives at the very end")
                .isGreaterThanOrEqualTo(simulation.requested(from, to) - 1);
    }

    /** A seed that generates 29 requests in the last four seconds, where 48 are expected. */
    @Example
    void endedLimitReachesAllHostsWithFewRequests() {
        changedAndEndedLimitsReachAllHosts(-15, 1, 2.0);
    }

    /** The number of requests that an upstream tolerates in any four seconds. */
    private static int tolerated(double limit) {
        return (int) (1.5 * 4 * limit) + 5;
    }
}
