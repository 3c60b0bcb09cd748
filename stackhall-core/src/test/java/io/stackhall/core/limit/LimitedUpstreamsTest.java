package io.stackhall.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests what one host sends to an upstream that has announced a limit. */
class LimitedUpstreamsTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("i-1");
    private static final HostId HOST = new HostId("entry-1");
    private static final LimitRevision FIRST = new LimitRevision(1, 1);
    private static final LimitRevision SECOND = new LimitRevision(1, 2);
    private static final long MILLI = 1_000_000;

    private final LimitedUpstreams limits = new LimitedUpstreams(HOST, new Random(1));
    private long now = 1_000_000 * MILLI;

    @Test
    void limitIsAppliedAtOnceAndReportedUntilConfirmed() {
        assertThat(limits.allows(UPSTREAM, now)).isTrue();
        assertThat(named(2, LimitRevision.none())).isTrue();
        assertThat(limits.allows(UPSTREAM, now)).isFalse();
        assertThat(named(2, LimitRevision.none())).as("reported once").isFalse();
        now += 400 * MILLI;
        assertThat(limits.dueObservations(now)).hasSize(1);
        limits.receive(update(OptionalDouble.of(2), FIRST));
        now += 400 * MILLI;
        assertThat(limits.dueObservations(now)).isEmpty();
        assertThat(limits.allows(UPSTREAM, now)).isFalse();
    }

    @Test
    void answerToARequestFromBeforeTheLimitDoesNotEndIt() {
        limits.receive(update(OptionalDouble.of(2), FIRST));
        assertThat(limits.observe(UPSTREAM, OptionalDouble.empty(), LimitRevision.none(), now))
                .isEmpty();
        assertThat(limits.observe(UPSTREAM, OptionalDouble.empty(), FIRST, now)).isPresent();
        assertThat(limits.allows(UPSTREAM, now)).as("until the leader confirms it").isFalse();
        limits.receive(update(OptionalDouble.empty(), SECOND));
        assertThat(limits.allows(UPSTREAM, now)).isTrue();
    }

    @Test
    void lateUpdateWithAnOlderRevisionIsIgnored() {
        limits.receive(update(OptionalDouble.empty(), SECOND));
        assertThat(limits.receive(update(OptionalDouble.of(2), FIRST))).isFalse();
        assertThat(limits.allows(UPSTREAM, now)).isTrue();
    }

    @Test
    void permitAllowsOneRequest() {
        limits.receive(update(OptionalDouble.of(2), FIRST));
        limits.awaitPermit(UPSTREAM, now);
        limits.awaitPermit(UPSTREAM, now);
        PermitRequest request = limits.dueRequests(now).getFirst();
        assertThat(request.exclusive()).isEqualTo(2);
        assertThat(limits.receiveAnswer(granted(request.requestedAt()), now)).isTrue();
        assertThat(limits.allows(UPSTREAM, now)).isTrue();
        limits.sent(UPSTREAM, now);
        assertThat(limits.allows(UPSTREAM, now)).isFalse();
    }

    @Test
    void expiredPermitIsReturned() {
        limits.receive(update(OptionalDouble.of(2), FIRST));
        limits.awaitPermit(UPSTREAM, now);
        PermitRequest request = limits.dueRequests(now).getFirst();
        now += 1500 * MILLI;
        assertThat(limits.receiveAnswer(granted(request.requestedAt()), now))
                .as("process paused meanwhile")
                .isFalse();
        assertThat(limits.allows(UPSTREAM, now)).isFalse();
        assertThat(limits.dueRequests(now).getFirst().returned()).isEqualTo(1);
    }

    @Test
    void optionalPermitIsRequestedRepeatedly() {
        limits.receive(update(OptionalDouble.of(2), FIRST));
        for (int time = 0; time < 3; time++) {
            assertThat(limits.optionalRequestDue(UPSTREAM, now)).isTrue();
            limits.requestOptionalPermit(UPSTREAM, now);
            assertThat(limits.dueRequests(now).getFirst().optional()).isTrue();
            assertThat(limits.dueRequests(now)).isEmpty();
            now += 600 * MILLI;
        }
    }

    @Test
    void requestsThatNoLongerWaitLeaveTheQueue() {
        limits.receive(update(OptionalDouble.of(2), FIRST));
        limits.awaitPermit(UPSTREAM, now);
        assertThat(limits.dueRequests(now)).hasSize(1);
        now += 200 * MILLI;
        assertThat(limits.dueRequests(now).getFirst().exclusive()).isZero();
        assertThat(limits.dueRequests(now)).isEmpty();
    }

    @Test
    void hostWithoutAnswersSendsItsShare() {
        limits.setHostCount(4);
        limits.receive(update(OptionalDouble.of(2), FIRST));
        int sent = 0;
        long end = now + Duration.ofSeconds(22).toNanos();
        while (now - end < 0) {
            limits.awaitPermit(UPSTREAM, now);
            limits.dueRequests(now);
            if (limits.allows(UPSTREAM, now)) {
                limits.sent(UPSTREAM, now);
                sent++;
            }
            now += 25 * MILLI;
        }
        assertThat(sent).as("a quarter of 2 a second in 20 s").isBetween(9, 11);
    }

    @Test
    void newIncarnationHasNoLimitUntilItNamesOne() {
        limits.receive(update(OptionalDouble.of(2), FIRST));
        assertThat(limits.allows(new UpstreamId("i-1", 5), now)).isTrue();
    }

    private boolean named(double perSecond, LimitRevision basis) {
        return limits.observe(UPSTREAM, OptionalDouble.of(perSecond), basis, now).isPresent();
    }

    private static LimitUpdate update(OptionalDouble perSecond, LimitRevision revision) {
        return new LimitUpdate(UPSTREAM, perSecond, false, revision);
    }

    private static PermitAnswer granted(long askedAt) {
        PermitWaits waits = new PermitWaits(List.of(), Duration.ZERO, Duration.ZERO);
        return new PermitAnswer(HOST, UPSTREAM, askedAt, true, waits);
    }
}
