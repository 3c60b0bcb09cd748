package io.stackhall.core.backpressure;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests how one host stops sending to resting upstreams, and ramps up again afterwards. */
class RestingUpstreamsTest {

    private static final long NOW = Duration.ofSeconds(100).toNanos();
    private static final UpstreamId ID = new UpstreamId("i-1", 1);
    private static final Duration REST = Duration.ofSeconds(3);

    private final RestingUpstreams rests = new RestingUpstreams(new Random(1));

    @Test
    void noRequestsAreSentUntilTheRestEnds() {
        rests.startRest(ID, REST, NOW);
        assertThat(rests.allows(ID, NOW + REST.toNanos() - 1)).isFalse();
        assertThat(rests.allows(ID, NOW + 2 * REST.toNanos())).isTrue();
    }

    @Test
    void laterEndOfTwoRestsApplies() {
        rests.startRest(ID, Duration.ofSeconds(10), NOW);
        rests.startRest(ID, Duration.ofSeconds(1), NOW);
        assertThat(rests.isResting(ID, NOW + Duration.ofSeconds(9).toNanos())).isTrue();
    }

    @Test
    void restOfZeroDurationIsIgnored() {
        rests.startRest(ID, Duration.ZERO, NOW);
        assertThat(rests.allows(ID, NOW)).isTrue();
        assertThat(rests.size()).isZero();
    }

    @Test
    void newIncarnationHasNoRest() {
        rests.startRest(ID, REST, NOW);
        assertThat(rests.allows(new UpstreamId("i-1", 2), NOW)).isTrue();
    }

    @Test
    void windowStartsAtOneAndDoublesAfterEachAnswer() {
        rests.startRest(ID, REST, NOW);
        long back = NOW + 2 * REST.toNanos();
        int window = 1;
        while (window <= 16) {
            for (int sent = 0; sent < window; sent++) {
                assertThat(rests.allows(ID, back)).as("of %s", window).isTrue();
                rests.sent(ID, back);
            }
            assertThat(rests.allows(ID, back)).as("beyond %s", window).isFalse();
            rests.answered(ID, back);
            for (int left = 1; left < window; left++) {
                rests.unanswered(ID, back);
            }
            window *= 2;
        }
        assertThat(rests.size()).isZero();
    }

    @Test
    void requestThatIsNotRefusedAtOnceIsFollowedByTheNext() {
        rests.startRest(ID, REST, NOW);
        long back = NOW + 2 * REST.toNanos();
        rests.sent(ID, back);
        assertThat(rests.allows(ID, back + Duration.ofMillis(90).toNanos())).isFalse();
        assertThat(rests.allows(ID, back + Duration.ofMillis(110).toNanos())).isTrue();
    }

    @Test
    void upstreamThatIsStillOverloadedRefusesOneRequestOnly() {
        rests.startRest(ID, REST, NOW);
        long back = NOW + 2 * REST.toNanos();
        rests.sent(ID, back);
        rests.startRest(ID, REST, back);
        rests.unanswered(ID, back);
        assertThat(rests.isResting(ID, back + REST.toNanos() - 1)).isTrue();
        long again = back + 2 * REST.toNanos();
        rests.sent(ID, again);
        assertThat(rests.allows(ID, again)).isFalse();
    }

    @Test
    void hostsRefusedTogetherResumeAtDifferentTimes() {
        Set<Duration> ends = new HashSet<>();
        for (int host = 0; host < 20; host++) {
            RestingUpstreams one = new RestingUpstreams(new Random(host));
            one.startRest(ID, REST, NOW);
            ends.add(one.remaining(ID, NOW));
        }
        assertThat(ends).hasSize(20);
        assertThat(ends).allMatch(end -> end.compareTo(REST) >= 0);
        assertThat(ends).allMatch(end -> end.compareTo(REST.plus(REST.dividedBy(4))) <= 0);
    }

    @Test
    void refusedCallersGetIncreasingRetryDelays() {
        rests.startRest(ID, REST, NOW);
        Duration first = rests.callerRetryDelay(ID, NOW);
        assertThat(first).isEqualTo(rests.remaining(ID, NOW));
        assertThat(rests.callerRetryDelay(ID, NOW)).isGreaterThan(first);
    }
}
