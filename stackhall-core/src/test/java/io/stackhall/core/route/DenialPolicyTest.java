package io.stackhall.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.route.DenialPolicy.Verdict;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** When a host may deny a request that its configuration does not allow. */
class DenialPolicyTest {

    private static final Duration STALENESS = Duration.ofSeconds(2);

    private final DenialPolicy policy = new DenialPolicy(STALENESS);

    @Test
    void hostThatNoQuorumHasConfirmedDeniesNothing() {
        assertThat(policy.decide(millis(0))).isEqualTo(new Verdict.Hold(true));
        assertThat(policy.decide(millis(10))).isEqualTo(new Verdict.Hold(false));
        assertThat(policy.decide(millis(500))).isInstanceOf(Verdict.Refuse.class);
    }

    @Test
    void confirmationIsStaleFromTheMomentAtWhichItWasAskedFor() {
        policy.confirmed(millis(0));
        assertThat(policy.decide(millis(900))).isInstanceOf(Verdict.Deny.class);
        assertThat(policy.decide(millis(1100))).isEqualTo(new Verdict.Hold(true));
    }

    @Test
    void hostThatWasSuspendedAsksBeforeItDenies() {
        policy.confirmed(millis(0));
        assertThat(policy.decide(millis(5000))).isEqualTo(new Verdict.Hold(true));
        policy.confirmed(millis(5000));
        assertThat(policy.decide(millis(5020))).isInstanceOf(Verdict.Deny.class);
    }

    @Test
    void quorumThatDidNotAnswerLongAgoIsAskedAgain() {
        policy.decide(millis(0));
        policy.decide(millis(500));
        assertThat(policy.decide(millis(9000))).isEqualTo(new Verdict.Hold(true));
    }

    @Test
    void floodOfUnknownPathsAsksAFewTimesASecondWhileNoQuorumAnswers() {
        int questions = 0;
        for (int time = 0; time < 10_000; time++) {
            questions +=
                    switch (policy.decide(millis(time))) {
                        case Verdict.Hold(boolean ask) -> ask ? 1 : 0;
                        case Verdict.Refuse(Duration ignored, boolean ask) -> ask ? 1 : 0;
                        case Verdict.Deny() -> 0;
                    };
        }
        assertThat(questions).isBetween(10, 26);
    }

    /**
     * Changes are acknowledged, lost on their way, and received with a quorum's answer; whatever is
     * denied is denied by the newest change that was acknowledged a staleness ago, or a newer one.
     */
    @Property
    void denialRestsOnNoConfigurationThatIsStale(
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 3) Integer> steps,
            @ForAll @IntRange(min = 1, max = 900) int stepMillis) {
        DenialPolicy host = new DenialPolicy(STALENESS);
        List<Long> acknowledgedAt = new ArrayList<>();
        int active = 0;
        long now = 0;
        long askedAt = -1;
        for (int step : steps) {
            now += millis(stepMillis);
            switch (step) {
                case 0 -> acknowledgedAt.add(now);
                case 1 -> {
                    if (askedAt >= 0) {
                        active = acknowledgedAt.size();
                        host.confirmed(askedAt);
                        askedAt = -1;
                    }
                }
                default -> {
                    switch (host.decide(now)) {
                        case Verdict.Deny() ->
                                assertThat(active).isGreaterThanOrEqualTo(due(acknowledgedAt, now));
                        case Verdict.Hold(boolean ask) -> askedAt = ask ? now : askedAt;
                        case Verdict.Refuse(Duration ignored, boolean ask) ->
                                askedAt = ask ? now : askedAt;
                    }
                }
            }
        }
    }

    /** Returns how many changes have to be active everywhere. */
    private static int due(List<Long> acknowledgedAt, long now) {
        return (int) acknowledgedAt.stream().filter(at -> now - at >= STALENESS.toNanos()).count();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
