package io.stackhall.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.fleet.Instances;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.SoftwareVersion;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.stream.TakeUp.Reason;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** What is taken for proof of where a stream began. */
class OriginInquiryTest {

    static final ServiceName SERVICE = new ServiceName("llm");
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");
    private static final Duration LIFE = Duration.ofSeconds(30);
    private static final Duration LONG = LIFE.plusSeconds(1);
    private static final OriginLookup UNKNOWN = new OriginLookup.Unknown();
    private static final TakeUp REFUSED = new TakeUp.Refused(Reason.UNKNOWN);

    static VersionsSeen seen(Duration watched, String... versions) {
        return new VersionsSeen(
                Arrays.stream(versions).map(SoftwareVersion::new).collect(Collectors.toSet()),
                false,
                watched);
    }

    private static OriginInquiry inquiry(VersionsSeen own) {
        OriginInquiry inquiry = new OriginInquiry(Optional.of(SERVICE), LIFE, own, List.of(A, B));
        inquiry.sent(A);
        inquiry.sent(B);
        return inquiry;
    }

    @Test
    void recordDecidesWhileOthersAreSilent() {
        StreamOrigin origin = new StreamOrigin(SERVICE, new SoftwareVersion("v2"));
        VersionsSeen mixed = seen(LONG, "v1", "v2");
        assertThat(
                        inquiry(mixed)
                                .answer(
                                        A,
                                        new OriginAnswer(new OriginLookup.Known(origin), mixed, 3)))
                .contains(new TakeUp.GoOn(origin, TakeUp.Evidence.RECORD));
        assertThat(
                        inquiry(mixed)
                                .answer(
                                        A,
                                        new OriginAnswer(
                                                new OriginLookup.Contradictory(), mixed, 3)))
                .contains(new TakeUp.Refused(Reason.CONTRADICTORY));
    }

    @Test
    void soleVersionNeedsEveryControlHostToHaveSeenNoOther() {
        TakeUp goesOn =
                new TakeUp.GoOn(
                        new StreamOrigin(SERVICE, new SoftwareVersion("v1")),
                        TakeUp.Evidence.SOLE_VERSION);
        assertThat(decide(2, seen(LONG, "v1"), seen(LONG, "v1"))).isEqualTo(goesOn);
        assertThat(decide(3, seen(LONG, "v1"), seen(LONG, "v1"))).isEqualTo(REFUSED);
        assertThat(decide(4, seen(LONG, "v1"), seen(LONG, "v1"))).isEqualTo(REFUSED);
        assertThat(decide(0, seen(LONG, "v1"), seen(LONG, "v1"))).isEqualTo(REFUSED);
        assertThat(decide(2, seen(LONG, "v1"), seen(LONG, "v1", "v2"))).isEqualTo(REFUSED);
        assertThat(decide(2, seen(LIFE.minusMillis(1), "v1"), seen(Duration.ZERO, "v1")))
                .isEqualTo(REFUSED);
        VersionsSeen untold = new VersionsSeen(seen(LONG, "v1").versions(), true, LONG);
        assertThat(decide(2, seen(LONG, "v1"), untold)).isEqualTo(REFUSED);
    }

    private static OriginAnswer unknown(VersionsSeen seen) {
        return new OriginAnswer(UNKNOWN, seen, 3);
    }

    private static TakeUp decide(int voters, VersionsSeen own, VersionsSeen theirs) {
        OriginInquiry inquiry = inquiry(own);
        OriginAnswer answer = new OriginAnswer(UNKNOWN, theirs, voters);
        assertThat(inquiry.answer(A, answer)).isEmpty();
        return inquiry.answer(B, answer).orElseGet(inquiry::conclude);
    }

    // What a control host told before it started again is known to nobody else for certain.
    @Test
    void versionsThatARestartedControlHostHasForgottenAreNotRuledOut() {
        OriginInquiry inquiry = inquiry(seen(LONG, "v1"));
        inquiry.answer(A, new OriginAnswer(UNKNOWN, seen(LONG, "v1"), 2));
        assertThat(inquiry.answer(B, new OriginAnswer(UNKNOWN, seen(Duration.ZERO, "v1"), 2)))
                .contains(REFUSED);
    }

    @Test
    void controlHostThatIsNotConnectedIsNotTakenForAgreement() {
        OriginInquiry inquiry =
                new OriginInquiry(Optional.of(SERVICE), LIFE, seen(LONG, "v1"), List.of(A, B));
        inquiry.sent(A);
        assertThat(inquiry.answer(A, new OriginAnswer(UNKNOWN, seen(LONG, "v1"), 1)))
                .contains(REFUSED);
    }

    @Test
    void hostThatAnswersAgainAfterAResetCountsOnce() {
        OriginInquiry inquiry = inquiry(seen(LONG, "v1"));
        assertThat(inquiry.answer(A, unknown(seen(LONG, "v1")))).isEmpty();
        inquiry.sent(A);
        assertThat(inquiry.answer(A, unknown(seen(LONG, "v1")))).isEmpty();
        assertThat(inquiry.conclude()).isEqualTo(REFUSED);
    }

    @Test
    void hostThatDoesNotAnswerIsNotTakenForAgreement() {
        OriginInquiry inquiry = inquiry(seen(LONG, "v1"));
        assertThat(inquiry.answer(A, unknown(seen(LONG, "v1")))).isEmpty();
        assertThat(inquiry.conclude()).isEqualTo(REFUSED);
    }

    // While all connections are reset at once, streams that others know were refused as unknown.
    @Test
    void hostWhoseConnectionWasResetIsWaitedFor() {
        VersionsSeen mixed = seen(LONG, "v1", "v2");
        OriginInquiry inquiry = inquiry(mixed);
        assertThat(inquiry.answer(A, unknown(mixed))).isEmpty();
        assertThat(inquiry.answer(B, unknown(mixed))).isEmpty();
        HostId again = new HostId("c");
        inquiry.sent(again);
        StreamOrigin origin = new StreamOrigin(SERVICE, new SoftwareVersion("v2"));
        assertThat(
                        inquiry.answer(
                                again, new OriginAnswer(new OriginLookup.Known(origin), mixed, 3)))
                .contains(new TakeUp.GoOn(origin, TakeUp.Evidence.RECORD));
    }

    @Test
    void versionThatIsGoneIsRememberedForTheLifeOfAStream() {
        VersionHistory history = VersionHistory.since(0);
        Instance instance = Instances.instance("i-1", 1);
        history.update(instance, 0);
        history.update(instance.withState(InstanceState.GONE), 1);
        ServiceName service = instance.service();
        assertThat(history.seen(service, LIFE, LIFE.toNanos()).versions()).hasSize(1);
        assertThat(history.seen(service, LIFE, 2 + LIFE.toNanos()).versions()).isEmpty();
    }

    @Test
    void holdersAreOfTwoZones() {
        Map<HostId, ZoneId> connected =
                Map.of(A, new ZoneId("x"), B, new ZoneId("y"), new HostId("c"), new ZoneId("x"));
        for (int number = 0; number < 50; number++) {
            List<HostId> holders =
                    OriginHolders.select(StreamKey.of("r" + number), new ZoneId("y"), connected);
            assertThat(holders).hasSize(2).first().isEqualTo(B);
        }
        assertThat(OriginHolders.select(StreamKey.of("r"), new ZoneId("y"), Map.of())).isEmpty();
    }
}
