package io.stackhall.core.dispatch;

import static io.stackhall.core.fleet.Instances.SERVICE;
import static io.stackhall.core.fleet.Instances.instance;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.backpressure.Backpressure;
import io.stackhall.core.backpressure.RestingUpstreams;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.core.limit.LimitUpdate;
import io.stackhall.core.limit.LimitedUpstreams;
import io.stackhall.core.limit.PermitAnswer;
import io.stackhall.core.limit.PermitRequest;
import io.stackhall.core.limit.PermitWaits;
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

/** Tests where requests go while one of the instances accepts only a limited number of them. */
class LimitedDispatchTest {

    private static final long NOW = Duration.ofSeconds(100).toNanos();
    private static final HostId HOST = new HostId("entry-1");
    private static final ModelId MODEL = new ModelId("m");
    private static final UpstreamId LIMITED = new UpstreamId("a");
    private static final Duration LOAD = Duration.ofSeconds(9);
    private static final Need NEED =
            new Need(SERVICE, Optional.of(MODEL), Optional.empty(), List.of(), 1000, 20, 1);

    private final Random random = new Random(1);
    private final LimitedUpstreams limits = new LimitedUpstreams(HOST, random);
    private final Dispatcher dispatcher =
            new Dispatcher(
                    new ZoneId("plateau"),
                    new Backpressure(limits, new RestingUpstreams(random)),
                    random);

    @BeforeEach
    void limitOne() {
        ModelWeights weights =
                new ModelWeights(
                        MODEL,
                        100,
                        List.of("a1"),
                        1,
                        LOAD,
                        Duration.ofSeconds(2),
                        Duration.ofMillis(800));
        EngineSpec spec =
                new EngineSpec(4, 1000, 300, 2, 1, 200, 600, EngineSpec.byName(List.of(weights)));
        dispatcher.setEngines(Map.of(SERVICE, spec));
        dispatcher.updateInstance(instance("a", 1, "m"));
        limits.receive(
                new LimitUpdate(LIMITED, OptionalDouble.of(1), false, new LimitRevision(1, 1)));
    }

    @Test
    void requestGoesToAnotherInstanceAtOnce() {
        dispatcher.updateInstance(instance("bb", 1, "m"));
        assertThat(choice())
                .isInstanceOfSatisfying(Choice.Send.class, LimitedDispatchTest::assertNotLimited);
        assertThat(limits.dueRequests(NOW))
                .extracting(PermitRequest::optional)
                .containsExactly(true);
    }

    private static void assertNotLimited(Choice.Send sent) {
        assertThat(sent.instance().id()).isNotEqualTo(LIMITED);
    }

    @Test
    void requestThatNoOtherInstanceServesWaitsForAPermit() {
        dispatcher.updateInstance(instance("bb", 1, "other"));
        Choice choice = choice();
        assertThat(choice).isInstanceOf(Choice.Limited.class);
        PermitRequest request = limits.dueRequests(NOW).getFirst();
        assertThat(request.exclusive()).isEqualTo(1);
        limits.receiveAnswer(
                new PermitAnswer(HOST, LIMITED, request.requestedAt(), true, PermitWaits.unknown()),
                NOW);
        assertThat(choice()).isInstanceOf(Choice.Send.class);
        dispatcher.requestSent(LIMITED, NEED, NOW);
        assertThat(choice()).isInstanceOf(Choice.Limited.class);
    }

    @Test
    void requestWhosePermitComesTooLateIsRefusedAtOnceWithTheTimeOfThePermit() {
        choice();
        denyPermitFor(Duration.ofSeconds(7));
        Admission admission = new Admission(NOW + Duration.ofSeconds(4).toNanos());
        assertThat(admission.decide(choice(), 0, NOW))
                .isInstanceOfSatisfying(
                        Admission.Verdict.GiveUp.class,
                        refused ->
                                assertThat(refused.retryAfter()).isEqualTo(Duration.ofSeconds(7)));
    }

    @Test
    void requestWhosePermitComesTooLateWaitsForACopyElsewhereThatComesInTime() {
        dispatcher.updateInstance(instance("bb", 1, "other"));
        dispatcher.loadStarted(new UpstreamId("bb"), MODEL, Duration.ofSeconds(2), NOW);
        choice();
        denyPermitFor(Duration.ofSeconds(7));
        Admission admission = new Admission(NOW + Duration.ofSeconds(4).toNanos());
        assertThat(admission.decide(choice(), 0, NOW))
                .isEqualTo(new Admission.Verdict.Wait(WaitReason.MODEL_LOADING));
    }

    @Test
    void requestWhosePermitAndModelComeTooLateIsRefusedAtOnce() {
        dispatcher.updateInstance(instance("bb", 1, "other"));
        choice();
        denyPermitFor(Duration.ofSeconds(12));
        // The deadline is only 100 ms after the load, too short for the request itself.
        Admission admission = new Admission(NOW + LOAD.plusMillis(100).toNanos());
        assertThat(admission.decide(choice(), 0, NOW)).isInstanceOf(Admission.Verdict.GiveUp.class);
    }

    @Test
    void requestWhosePermitComesAfterItsObjectiveDoesNotDelayThoseBehindIt() {
        choice();
        denyPermitFor(Duration.ofSeconds(2));
        long deadline = NOW + Duration.ofSeconds(5).toNanos();
        Admission urgent = new Admission(deadline, NOW + Duration.ofMillis(700).toNanos());
        assertThat(urgent.decide(choice(), 0, NOW))
                .isInstanceOfSatisfying(
                        Admission.Verdict.GiveUp.class,
                        refused ->
                                assertThat(refused.retryAfter()).isEqualTo(Duration.ofSeconds(2)));
        Admission patient = new Admission(deadline, NOW + Duration.ofSeconds(4).toNanos());
        assertThat(patient.decide(choice(), 0, NOW))
                .isEqualTo(new Admission.Verdict.Wait(WaitReason.LIMIT));
    }

    @Test
    void adapterIsRequestedAtTheInstanceWithoutALimit() {
        dispatcher.updateInstance(instance("bb", 1, "m"));
        Need need =
                new Need(SERVICE, Optional.of(MODEL), Optional.of("a1"), List.of(), 1000, 20, 1);
        assertThat(dispatcher.choose(need, id -> true, false, NOW))
                .isInstanceOfSatisfying(
                        Choice.AdapterMissing.class,
                        missing ->
                                assertThat(missing.instance().id())
                                        .isEqualTo(new UpstreamId("bb")));
    }

    private void denyPermitFor(Duration first) {
        PermitRequest request = limits.dueRequests(NOW).getFirst();
        PermitWaits waits =
                new PermitWaits(List.of(first), first.plusSeconds(1), Duration.ofSeconds(1));
        limits.receiveAnswer(
                new PermitAnswer(HOST, LIMITED, request.requestedAt(), false, waits), NOW);
    }

    private Choice choice() {
        return dispatcher.choose(NEED, id -> true, false, NOW);
    }
}
