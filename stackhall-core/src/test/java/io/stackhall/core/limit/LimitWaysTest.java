package io.stackhall.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Three ways to keep a limit of one request a second over nine hosts, for requests that come three
 * times as often: a place in the leader's queue for each, asking the leader again and again, and a
 * fixed share of each host.
 */
class LimitWaysTest {

    private static final int HOSTS = 9;
    private static final int SEEDS = 20;
    private static final double LIMIT = 1;
    private static final double DEMAND = 3;
    private static final Duration FROM = Duration.ofSeconds(6);
    private static final Duration END = Duration.ofSeconds(66);

    private static final double WELL_USED = 0.95;
    private static final Duration OBJECTIVE = Duration.ofMillis(800);

    /**
     * How a way did in the mean.
     *
     * @param used the part of the limit that was used
     * @param waitedMillis how long a request that was refused had waited
     */
    private record Outcome(double used, double waitedMillis) {}

    @Test
    void placesInAQueueUseTheLimitAndLetHardlyAnybodyWaitInVain() {
        Outcome queue = mean(LimitWaysTest::queue);
        Outcome asking = mean(LimitWaysTest::askingAgain);
        Outcome shares = mean(LimitWaysTest::shares);
        assertThat(queue.used()).isGreaterThan(WELL_USED);
        assertThat(shares.used()).isLessThan(WELL_USED);
        assertThat(queue.waitedMillis()).isLessThan(asking.waitedMillis() / 2);
        assertThat(asking.waitedMillis()).isLessThan(shares.waitedMillis());
    }

    /** Those who wait beyond their objective only make all others late as well. */
    @Test
    void shortQueueServesAsManyRequestsSooner() {
        LimitPlay longer = play(0).play(END, DEMAND);
        LimitPlay shorter = play(0).patience(OBJECTIVE).play(END, DEMAND);
        assertThat(shorter.arrived(FROM, END))
                .isGreaterThanOrEqualTo((long) (WELL_USED * longer.arrived(FROM, END)));
        assertThat(longer.meanWait()).isGreaterThan(OBJECTIVE);
        assertThat(shorter.meanWait()).isLessThan(OBJECTIVE.dividedBy(2));
    }

    private static Outcome queue(long seed) {
        LimitPlay play = play(seed).play(END, DEMAND);
        return new Outcome(play.perSecond(FROM, END) / LIMIT, play.meanWaitInVain().toMillis());
    }

    private static Outcome askingAgain(long seed) {
        AskAgainPlay play = new AskAgainPlay(seed, LIMIT).play(END, DEMAND);
        return new Outcome(play.perSecond(FROM, END) / LIMIT, play.meanWaitInVain().toMillis());
    }

    /** What hosts do that no leader answers. */
    private static Outcome shares(long seed) {
        LimitPlay play = play(seed).cut(1, Duration.ofSeconds(3), END).play(END, DEMAND);
        return new Outcome(play.perSecond(FROM, END) / LIMIT, play.meanWaitInVain().toMillis());
    }

    private static Outcome mean(LongFunction<Outcome> way) {
        List<Outcome> all = LongStream.range(0, SEEDS).mapToObj(way).toList();
        return new Outcome(
                all.stream().mapToDouble(Outcome::used).average().orElseThrow(),
                all.stream().mapToDouble(Outcome::waitedMillis).average().orElseThrow());
    }

    private static LimitPlay play(long seed) {
        return new LimitPlay(seed, HOSTS).names(Duration.ofSeconds(2), OptionalDouble.of(LIMIT));
    }
}
