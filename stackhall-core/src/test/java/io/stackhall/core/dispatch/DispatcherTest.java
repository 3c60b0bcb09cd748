package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.atVersion;
import static io.stackhall.core.fleet.Instances.incarnation;
import static io.stackhall.core.fleet.Instances.instance;
import static io.stackhall.core.fleet.Instances.instanceInZone;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.SoftwareVersion;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests where requests go. */
class DispatcherTest {

    private static final long NOW = Duration.ofSeconds(100).toNanos();
    private static final ModelId MODEL = new ModelId("m");

    private final Dispatcher dispatcher = Dispatchers.of(new Random(1));

    @BeforeEach
    void configure() {
        ModelWeights weights =
                new ModelWeights(
                        MODEL,
                        100,
                        List.of("a1", "a2"),
                        1,
                        Duration.ofSeconds(9),
                        Duration.ofSeconds(2),
                        Duration.ofMillis(800));
        EngineSpec spec =
                new EngineSpec(4, 1000, 300, 2, 1, 200, 600, EngineSpec.byName(List.of(weights)));
        dispatcher.setEngines(Map.of(SERVICE, spec));
    }

    @Test
    void requestGoesWhereItsModelIsResident() {
        dispatcher.updateInstance(instance("a", 1, "other"));
        dispatcher.updateInstance(instance("bb", 1, "m"));
        assertThat(sentTo(need(Optional.empty()))).contains("bb");
    }

    @Test
    void restartedUpstreamHasNoWorkOfItsPreviousIncarnation() {
        dispatcher.updateInstance(incarnation("a", 100, 9, "m"));
        UpstreamId earlier = new UpstreamId("a", 100);
        InFlightRequest inFlight = dispatcher.requestSent(earlier, need(Optional.empty()), NOW);
        dispatcher.updateInstance(incarnation("a", 100, 9, "m").withState(InstanceState.GONE));
        dispatcher.updateInstance(incarnation("a", 200, 1, "m"));
        dispatcher.requestEnded(inFlight, NOW);
        assertThat(dispatcher.occupancy(new UpstreamId("a", 200), NOW)).isZero();
        assertThat(dispatcher.takeWork()).isEmpty();
    }

    @Test
    void drainingAndSilentInstancesGetNothing() {
        dispatcher.updateInstance(instance("a", 1, "m").withState(InstanceState.DRAINING));
        dispatcher.updateInstance(instance("bb", 1, "m").withState(InstanceState.SILENT));
        assertThat(dispatcher.choose(need(Optional.empty()), id -> true, false, NOW))
                .isEqualTo(new Choice.NobodyServes());
    }

    @Test
    void instancesOfAnEvacuatedZoneGetNothingUntilTheEvacuationIsUndone() {
        EvacuatedZones evacuated = EvacuatedZones.none().with(new ZoneId("plateau"));
        dispatcher.updateInstance(instance("a", 1, "m"));
        dispatcher.updateInstance(instanceInZone("yoff", "bb", 1, "m"));
        dispatcher.setEvacuatedZones(evacuated);
        for (int count = 0; count < 20; count++) {
            assertThat(sentTo(need(Optional.empty()))).contains("bb");
        }
        dispatcher.updateInstance(
                instanceInZone("yoff", "bb", 2, "m").withState(InstanceState.GONE));
        assertThat(sentTo(need(Optional.empty()))).isEmpty();
        dispatcher.setEvacuatedZones(evacuated.without(new ZoneId("plateau")));
        assertThat(sentTo(need(Optional.empty()))).contains("a");
    }

    @Test
    void reportsAllTriedWhenKnownInstancesWereTried() {
        dispatcher.updateInstance(instance("a", 1, "m"));
        assertThat(dispatcher.choose(need(Optional.empty()), id -> false, false, NOW))
                .isEqualTo(new Choice.AllTried());
    }

    @Test
    void missingModelReportsLoadTimeFromNearestCopy() {
        dispatcher.updateInstance(instance("a", 1, "other"));
        assertThat(dispatcher.choose(need(Optional.empty()), id -> true, false, NOW))
                .isEqualTo(new Choice.ModelMissing(Duration.ofSeconds(9)));
    }

    @Test
    void adapterIsRequestedWhereItsModelIsResident() {
        dispatcher.updateInstance(instance("a", 1, "m"));
        assertThat(dispatcher.choose(need(Optional.of("a1")), id -> true, false, NOW))
                .isInstanceOf(Choice.AdapterMissing.class);
        dispatcher.updateResidency(new UpstreamId("a"), MODEL, Optional.of("a1"), true, NOW);
        assertThat(sentTo(need(Optional.of("a1")))).contains("a");
    }

    @Test
    void modelReloadedSoonAfterItsUnloadIsUsedAtOnce() {
        dispatcher.updateInstance(instance("a", 1, "m"));
        dispatcher.updateResidency(new UpstreamId("a"), MODEL, Optional.empty(), false, NOW);
        dispatcher.updateInstance(instance("a", 2, "other"));
        dispatcher.updateInstance(instance("a", 3, "m", "other"));
        assertThat(sentTo(need(Optional.empty()))).contains("a");
    }

    @Test
    void notifiedAdaptersAreDroppedWithTheirModel() {
        dispatcher.updateInstance(instance("a", 1, "m"));
        dispatcher.updateResidency(new UpstreamId("a"), MODEL, Optional.of("a1"), true, NOW);
        dispatcher.updateInstance(instance("a", 2, "other"));
        dispatcher.updateInstance(instance("a", 3, "m"));
        assertThat(dispatcher.choose(need(Optional.of("a1")), id -> true, false, NOW))
                .isInstanceOf(Choice.AdapterMissing.class);
    }

    @Test
    void loadInProgressReportsItsRemainingTime() {
        dispatcher.updateInstance(instance("a", 1, "other"));
        dispatcher.loadStarted(new UpstreamId("a"), MODEL, Duration.ofSeconds(2), NOW);
        long later = NOW + Duration.ofMillis(1500).toNanos();
        assertThat(dispatcher.choose(need(Optional.empty()), id -> true, false, later))
                .isEqualTo(new Choice.ModelComing(Duration.ofMillis(500)));
    }

    @Test
    void overdueLoadCountsAsFailed() {
        dispatcher.updateInstance(instance("a", 1, "other"));
        dispatcher.loadStarted(new UpstreamId("a"), MODEL, Duration.ofSeconds(2), NOW);
        long later = NOW + Duration.ofSeconds(5).toNanos();
        assertThat(dispatcher.choose(need(Optional.empty()), id -> true, false, later))
                .isInstanceOf(Choice.ModelMissing.class);
    }

    @Test
    void engineGetsNoFourthPromptWhileThreeAreUnread() {
        dispatcher.updateInstance(instance("a", 1, "m"));
        InFlightRequest first =
                dispatcher.requestSent(new UpstreamId("a"), need(Optional.empty()), NOW);
        dispatcher.requestSent(new UpstreamId("a"), need(Optional.empty()), NOW);
        dispatcher.requestSent(new UpstreamId("a"), need(Optional.empty()), NOW);
        assertThat(dispatcher.choose(need(Optional.empty()), id -> true, false, NOW))
                .isInstanceOf(Choice.Full.class);
        dispatcher.responseStarted(first, NOW + Duration.ofMillis(100).toNanos());
        assertThat(sentTo(need(Optional.empty()))).contains("a");
    }

    @Test
    void modelAboutToBeUnloadedGetsNoRequests() {
        dispatcher.updateInstance(instance("a", 1, "m"));
        dispatcher.updateResidency(new UpstreamId("a"), MODEL, Optional.empty(), false, NOW);
        assertThat(dispatcher.choose(need(Optional.empty()), id -> true, false, NOW))
                .isInstanceOf(Choice.ModelMissing.class);
        long later = NOW + Duration.ofSeconds(3).toNanos();
        assertThat(dispatcher.choose(need(Optional.empty()), id -> true, false, later))
                .isInstanceOf(Choice.Send.class);
    }

    @Test
    void adapterAboutToBeUnloadedIsRequestedAgain() {
        dispatcher.updateInstance(instance("a", 1, "m"));
        Optional<String> adapter = Optional.of("a1");
        dispatcher.updateResidency(new UpstreamId("a"), MODEL, adapter, true, NOW);
        dispatcher.updateResidency(new UpstreamId("a"), MODEL, adapter, false, NOW);
        assertThat(dispatcher.choose(need(adapter), id -> true, false, NOW))
                .isInstanceOf(Choice.AdapterMissing.class);
    }

    @Test
    void fullInstancesMakeRequestsWait() {
        dispatcher.updateInstance(instance("a", 1, "m"));
        for (int count = 0; count < 4; count++) {
            dispatcher.requestSent(new UpstreamId("a"), need(Optional.empty()), NOW);
        }
        assertThat(dispatcher.choose(need(Optional.empty()), id -> true, false, NOW))
                .isEqualTo(new Choice.Full(3 / 0.15));
    }

    @Test
    void instanceThatDoesNotAnswerIsAvoidedWhileAnotherDoes() {
        dispatcher.updateInstance(instance("a", 1, "m"));
        dispatcher.updateInstance(instance("bb", 1, "m"));
        dispatcher.requestSent(new UpstreamId("a"), need(Optional.empty()), NOW);
        long later = NOW + Duration.ofSeconds(3).toNanos();
        for (int count = 0; count < 3; count++) {
            assertThat(dispatcher.choose(need(Optional.empty()), id -> true, false, later))
                    .matches(choice -> idOf(choice).equals(Optional.of("bb")));
            dispatcher.requestSent(new UpstreamId("bb"), need(Optional.empty()), later);
        }
    }

    @Test
    void waitsForAResponsiveInstanceRatherThanUsingASilentOne() {
        dispatcher.updateInstance(instance("a", 1, "m"));
        dispatcher.updateInstance(instance("bb", 1, "m"));
        dispatcher.requestSent(new UpstreamId("a"), need(Optional.empty()), NOW);
        long later = NOW + Duration.ofSeconds(3).toNanos();
        for (int count = 0; count < 3; count++) {
            dispatcher.requestSent(new UpstreamId("bb"), need(Optional.empty()), later);
        }
        assertThat(dispatcher.choose(need(Optional.empty()), id -> true, false, later))
                .isInstanceOf(Choice.Full.class);
    }

    @Test
    void requestsOfOtherHostsFillAnInstanceUnlessItReportsItsLoad() {
        UpstreamId id = new UpstreamId("a");
        dispatcher.updateInstance(instance("a", 1, "m"));
        dispatcher.updateRemoteRequests(Map.of(id, 4), NOW);
        assertThat(dispatcher.choose(need(Optional.empty()), any -> true, false, NOW))
                .isInstanceOf(Choice.Full.class);
        dispatcher.updateReportedLoad(id, 1, OptionalDouble.empty(), NOW);
        dispatcher.updateRemoteRequests(Map.of(id, 4), NOW);
        assertThat(sentTo(need(Optional.empty()))).contains("a");
    }

    @Test
    void reportedWorkIncludesSlowAnswers() {
        UpstreamId id = new UpstreamId("a");
        dispatcher.updateInstance(instance("a", 1, "m"));
        dispatcher.setObjectives(Map.of(SERVICE, Duration.ofMillis(400)));
        InFlightRequest slow = dispatcher.requestSent(id, need(Optional.empty()), NOW);
        dispatcher.requestSent(id, need(Optional.empty()), NOW);
        dispatcher.responseStarted(slow, NOW + Duration.ofMillis(390).toNanos());
        assertThat(dispatcher.takeWork()).isEqualTo(Map.of(id, new InstanceWork(2, 1, 1)));
        assertThat(dispatcher.takeWork()).isEqualTo(Map.of(id, new InstanceWork(2, 0, 0)));
    }

    @Test
    void endedRequestsLeaveNoWorkBehind() {
        dispatcher.updateInstance(instance("a", 1, "m"));
        for (int count = 0; count < 50; count++) {
            InFlightRequest inFlight =
                    dispatcher.requestSent(new UpstreamId("a"), need(Optional.empty()), NOW);
            if (count % 2 == 0) {
                dispatcher.responseStarted(inFlight, NOW);
            }
            dispatcher.requestEnded(inFlight, NOW);
            dispatcher.requestEnded(inFlight, NOW);
        }
        assertThat(dispatcher.occupancy(new UpstreamId("a"), NOW)).isZero();
        assertThat(sentTo(need(Optional.empty()))).contains("a");
    }

    @Test
    void retriesStayWithinTheRatioAndTheSlack() {
        RetryLimiter limiter = new RetryLimiter(0.2, 10, 2, Duration.ofSeconds(10));
        for (int count = 0; count < 50; count++) {
            limiter.recordRequest(SERVICE, NOW);
        }
        long taken = 0;
        while (limiter.tryTake(SERVICE, NOW)) {
            taken++;
        }
        assertThat(taken).isEqualTo(12);
        assertThat(limiter.tryTake(SERVICE, NOW + Duration.ofSeconds(11).toNanos())).isTrue();
    }

    @Test
    void slackIsSharedByTheMaximumNumberOfHostsSeen() {
        RetryLimiter limiter = new RetryLimiter(0, 100, 2, Duration.ofSeconds(10));
        limiter.updateHostCount(40);
        limiter.updateHostCount(1);
        assertThat(limiter.tryTake(SERVICE, NOW)).isTrue();
        assertThat(limiter.tryTake(SERVICE, NOW)).isTrue();
        assertThat(limiter.tryTake(SERVICE, NOW)).isFalse();
    }

    // A stream that waited for its model at its own version waited for a load that nobody orders.
    @Test
    void streamWhoseVersionLacksItsModelIsRefusedAtOnce() {
        dispatcher.updateInstance(instance("old", 1, "m"));
        dispatcher.updateInstance(atVersion("new-1", "v2", "other"));
        Need goingOn = need(Optional.empty()).atVersion(new SoftwareVersion("v2"));
        assertThat(dispatcher.choose(goingOn, id -> true, false, NOW))
                .isEqualTo(new Choice.VersionMissing());
        dispatcher.updateInstance(atVersion("new-2-too", "v2", "m"));
        assertThat(sentTo(goingOn)).contains("new-2-too");
        Need nowhere = need(Optional.empty()).atVersion(new SoftwareVersion("v3"));
        Admission admission = new Admission(NOW + Duration.ofSeconds(9).toNanos());
        assertThat(admission.decide(dispatcher.choose(nowhere, id -> true, false, NOW), 0, NOW))
                .isInstanceOf(Admission.Verdict.GiveUp.class);
    }

    // Beside a resting instance, such a stream waited for a load all the same.
    @Test
    void streamWhoseVersionRestsOrLacksItsModelIsRefusedAtOnce() {
        dispatcher.updateInstance(atVersion("holder", "v2", "m"));
        dispatcher.updateInstance(atVersion("other", "v2"));
        dispatcher.recordRest(new UpstreamId("holder"), Duration.ofMinutes(1), NOW);
        Need goingOn = need(Optional.empty()).atVersion(new SoftwareVersion("v2"));
        Choice choice = dispatcher.choose(goingOn, id -> true, false, NOW);
        assertThat(choice).isInstanceOf(Choice.Resting.class);
        Admission admission = new Admission(NOW + Duration.ofSeconds(20).toNanos());
        assertThat(admission.decide(choice, 0, NOW)).isInstanceOf(Admission.Verdict.GiveUp.class);
    }

    private Optional<String> sentTo(Need need) {
        return idOf(dispatcher.choose(need, id -> true, false, NOW));
    }

    private static Optional<String> idOf(Choice choice) {
        return choice instanceof Choice.Send send
                ? Optional.of(send.instance().id().value())
                : Optional.empty();
    }

    private static Need need(Optional<String> adapter) {
        return new Need(SERVICE, Optional.of(MODEL), adapter, List.of(), 1000, 20, 1);
    }
}
