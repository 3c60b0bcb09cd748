package io.stackhall.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What one host sends to an upstream that has named a limit. */
class LimitedUpstreamsTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("i-1");
    private static final HostId HOST = new HostId("entry-1");
    private static final LimitRevision FIRST = new LimitRevision(1, 1);
    private static final LimitRevision SECOND = new LimitRevision(1, 2);
    private static final long MILLI = 1_000_000;

    private final LimitedUpstreams limits = new LimitedUpstreams(HOST, new Random(1));
    private long now = 1_000_000 * MILLI;

    @Test
    void limitIsObeyedAtOnceAndToldUntilAKeeperSaysSo() {
        assertThat(limits.allows(UPSTREAM, now)).isTrue();
        assertThat(named(2, LimitRevision.none())).isTrue();
        assertThat(limits.allows(UPSTREAM, now)).isFalse();
        assertThat(named(2, LimitRevision.none())).as("told once").isFalse();
        now += 400 * MILLI;
        assertThat(limits.unconfirmed(now)).hasSize(1);
        limits.told(word(OptionalDouble.of(2), FIRST));
        now += 400 * MILLI;
        assertThat(limits.unconfirmed(now)).isEmpty();
        assertThat(limits.allows(UPSTREAM, now)).isFalse();
    }

    @Test
    void answerWithoutLimitToARequestFromBeforeEndsNothing() {
        limits.told(word(OptionalDouble.of(2), FIRST));
        assertThat(limits.named(UPSTREAM, OptionalDouble.empty(), LimitRevision.none(), now))
                .isEmpty();
        assertThat(limits.named(UPSTREAM, OptionalDouble.empty(), FIRST, now)).isPresent();
        assertThat(limits.allows(UPSTREAM, now)).as("until the keeper says so").isFalse();
        limits.told(word(OptionalDouble.empty(), SECOND));
        assertThat(limits.allows(UPSTREAM, now)).isTrue();
    }

    @Test
    void earlierWordThatComesLateChangesNothing() {
        limits.told(word(OptionalDouble.empty(), SECOND));
        assertThat(limits.told(word(OptionalDouble.of(2), FIRST))).isFalse();
        assertThat(limits.allows(UPSTREAM, now)).isTrue();
    }

    @Test
    void permitLetsOneRequestGo() {
        limits.told(word(OptionalDouble.of(2), FIRST));
        limits.await(UPSTREAM, now);
        limits.await(UPSTREAM, now);
        PermitWant want = limits.wants(now).getFirst();
        assertThat(want.alone()).isEqualTo(2);
        assertThat(limits.answered(granted(want.askedAt()), now)).isTrue();
        assertThat(limits.allows(UPSTREAM, now)).isTrue();
        limits.sent(UPSTREAM, now);
        assertThat(limits.allows(UPSTREAM, now)).isFalse();
    }

    @Test
    void permitThatWasAskedForLongAgoIsGivenBack() {
        limits.told(word(OptionalDouble.of(2), FIRST));
        limits.await(UPSTREAM, now);
        PermitWant want = limits.wants(now).getFirst();
        now += 1500 * MILLI;
        assertThat(limits.answered(granted(want.askedAt()), now)).as("frozen meanwhile").isFalse();
        assertThat(limits.allows(UPSTREAM, now)).isFalse();
        assertThat(limits.wants(now).getFirst().returned()).isEqualTo(1);
    }

    @Test
    void requestThatOthersServeAsksAgainWhetherALimitedUpstreamMayBeUsed() {
        limits.told(word(OptionalDouble.of(2), FIRST));
        for (int time = 0; time < 3; time++) {
            assertThat(limits.spareDue(UPSTREAM, now)).isTrue();
            limits.spare(UPSTREAM, now);
            assertThat(limits.wants(now).getFirst().spare()).isTrue();
            assertThat(limits.wants(now)).isEmpty();
            now += 600 * MILLI;
        }
    }

    @Test
    void requestsThatWaitNoMoreGiveUpTheirPlaces() {
        limits.told(word(OptionalDouble.of(2), FIRST));
        limits.await(UPSTREAM, now);
        assertThat(limits.wants(now)).hasSize(1);
        now += 200 * MILLI;
        assertThat(limits.wants(now).getFirst().alone()).isZero();
        assertThat(limits.wants(now)).isEmpty();
    }

    @Test
    void hostThatNobodyAnswersSendsItsShare() {
        limits.shared(4);
        limits.told(word(OptionalDouble.of(2), FIRST));
        int sent = 0;
        long end = now + Duration.ofSeconds(22).toNanos();
        while (now - end < 0) {
            limits.await(UPSTREAM, now);
            limits.wants(now);
            if (limits.allows(UPSTREAM, now)) {
                limits.sent(UPSTREAM, now);
                sent++;
            }
            now += 25 * MILLI;
        }
        assertThat(sent).as("a quarter of 2 a second in 20 s").isBetween(9, 11);
    }

    @Test
    void laterLifeHasNoLimitUntilItNamesOne() {
        limits.told(word(OptionalDouble.of(2), FIRST));
        assertThat(limits.allows(new UpstreamId("i-1", 5), now)).isTrue();
    }

    private boolean named(double perSecond, LimitRevision basis) {
        return limits.named(UPSTREAM, OptionalDouble.of(perSecond), basis, now).isPresent();
    }

    private static LimitWord word(OptionalDouble perSecond, LimitRevision revision) {
        return new LimitWord(UPSTREAM, perSecond, false, revision);
    }

    private static PermitAnswer granted(long askedAt) {
        PermitWaits waits = new PermitWaits(List.of(), Duration.ZERO, Duration.ZERO);
        return new PermitAnswer(HOST, UPSTREAM, askedAt, true, waits);
    }
}
