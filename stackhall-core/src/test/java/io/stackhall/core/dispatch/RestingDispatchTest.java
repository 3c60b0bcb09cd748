package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.coldInstance;
import static io.stackhall.core.fleet.Instances.instance;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.SuspectIsolation;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests where requests go while an instance has asked their host for a rest, that is, to send
 * nothing for a while.
 */
class RestingDispatchTest {

    private static final long NOW = Duration.ofSeconds(100).toNanos();
    private static final ModelId MODEL = new ModelId("m");
    private static final UpstreamId RESTING = new UpstreamId("a");
    private static final Duration REST = Duration.ofSeconds(3);
    private static final Duration LOAD = Duration.ofSeconds(9);
    private static final Need NEED =
            new Need(SERVICE, Optional.of(MODEL), Optional.empty(), List.of(), 1000, 20, 1);

    private final Dispatcher dispatcher = Dispatchers.of(new Random(1));

    @BeforeEach
    void startRest() {
        ModelWeights weights =
                new ModelWeights(
                        MODEL,
                        100,
                        List.of(),
                        1,
                        LOAD,
                        Duration.ofSeconds(2),
                        Duration.ofMillis(800));
        EngineSpec spec =
                new EngineSpec(4, 1000, 300, 2, 1, 200, 600, EngineSpec.byName(List.of(weights)));
        dispatcher.setEngines(Map.of(SERVICE, spec));
        dispatcher.updateInstance(instance("a", 1, "m"));
        dispatcher.recordRest(RESTING, REST, NOW);
    }

    @Test
    void requestGoesToAnotherInstanceAtOnce() {
        dispatcher.updateInstance(instance("bb", 1, "m"));
        assertThat(choice())
                .isInstanceOfSatisfying(
                        Choice.Send.class,
                        sent -> assertThat(sent.instance().id()).isNotEqualTo(RESTING));
    }

    @Test
    void requestWaitsForARestThatEndsInTime() {
        long end = NOW + Duration.ofSeconds(10).toNanos();
        assertThat(new Admission(end, end).decide(choice(), 0, NOW))
                .isEqualTo(new Admission.Verdict.Wait(WaitReason.REST));
    }

    @Test
    void requestThatTheRestOutlastsIsRefusedAtOnceWithTheTimeOfItsEnd() {
        Choice choice = choice();
        Admission.Verdict verdict = admissionWithin(Duration.ofSeconds(1)).decide(choice, 0, NOW);
        assertThat(verdict).isInstanceOf(Admission.Verdict.GiveUp.class);
        Duration after = ((Admission.Verdict.GiveUp) verdict).retryAfter();
        Duration first = dispatcher.retryAfter(choice, after, NOW);
        assertThat(first).isBetween(REST, REST.plus(REST.dividedBy(4)));
        assertThat(dispatcher.retryAfter(choice, after, NOW)).isGreaterThan(first);
    }

    @Test
    void requestWaitsForACopyElsewhereThatComesBeforeTheRestEnds() {
        dispatcher.updateInstance(instance("bb", 1, "other"));
        dispatcher.loadStarted(new UpstreamId("bb"), MODEL, Duration.ofMillis(500), NOW);
        assertThat(admissionWithin(Duration.ofSeconds(1)).decide(choice(), 0, NOW))
                .isEqualTo(new Admission.Verdict.Wait(WaitReason.MODEL_LOADING));
    }

    @Test
    void retryTimeIsThatOfACopyElsewhereThatComesBeforeTheRestEnds() {
        dispatcher.updateInstance(instance("bb", 1, "other"));
        dispatcher.loadStarted(new UpstreamId("bb"), MODEL, Duration.ofSeconds(2), NOW);
        Choice choice = choice();
        Admission admission = new Admission(NOW + Duration.ofSeconds(1).toNanos());
        Admission.Verdict verdict = admission.decide(choice, 0, NOW);
        Duration after = ((Admission.Verdict.GiveUp) verdict).retryAfter();
        assertThat(dispatcher.retryAfter(choice, after, NOW)).isLessThan(REST);
    }

    @Test
    void requestWaitsForATimeSlotAtAColdInstanceWhileTheOtherRests() {
        dispatcher.setColdRequestsPerSecond(Map.of(SERVICE, 0.5));
        dispatcher.setHostCount(50);
        dispatcher.updateInstance(coldInstance("cc", Duration.ofSeconds(20)));
        Need plain = new Need(SERVICE, Optional.empty(), Optional.empty(), List.of(), 0, 0, 1);
        Choice choice = dispatcher.choose(plain, id -> true, false, NOW);
        assertThat(admissionWithin(Duration.ofSeconds(1)).decide(choice, 0, NOW))
                .isEqualTo(new Admission.Verdict.Wait(WaitReason.FULL));
    }

    @Test
    void suspectIsNotSentToARestingInstance() {
        SuspectDispatcher suspects = new SuspectDispatcher(dispatcher, new SuspectIsolation());
        RequestDigest digest = RequestDigest.of("GET", "a.example", "/x", new byte[0]);
        assertThat(suspects.choose(digest, NEED, id -> true, false, NOW))
                .isInstanceOf(Choice.Resting.class);
    }

    @Test
    void requestIsNotWrittenAfterTheRestBegan() {
        dispatcher.updateInstance(instance("bb", 1, "m"));
        UpstreamId other = new UpstreamId("bb");
        assertThat(dispatcher.mayWrite(other, NOW)).isTrue();
        dispatcher.recordRest(other, REST, NOW);
        assertThat(dispatcher.mayWrite(other, NOW)).isFalse();
    }

    @Test
    void requestIsNotWrittenToADrainingInstance() {
        dispatcher.updateInstance(instance("bb", 1, "m").withState(InstanceState.DRAINING));
        assertThat(dispatcher.mayWrite(new UpstreamId("bb"), NOW)).isFalse();
    }

    @Test
    void rejectionsAreNotSampledAsAnswers() {
        dispatcher.updateInstance(instance("bb", 1, "m"));
        UpstreamId other = new UpstreamId("bb");
        for (int count = 0; count < 20; count++) {
            InFlightRequest inFlight = dispatcher.requestSent(other, NEED, NOW);
            dispatcher.errorResponseStarted(inFlight, false);
            dispatcher.requestEnded(inFlight, NOW + Duration.ofMillis(1).toNanos());
        }
        assertThat(dispatcher.takeWork()).doesNotContainKey(other);
        assertThat(dispatcher.occupancy(other, NOW)).isZero();
    }

    private static Admission admissionWithin(Duration left) {
        return new Admission(NOW + Duration.ofSeconds(4).toNanos(), NOW + left.toNanos());
    }

    private Choice choice() {
        return dispatcher.choose(NEED, id -> true, false, NOW);
    }
}
