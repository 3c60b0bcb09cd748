package io.stackhall.core.residency;

import static io.stackhall.core.fleet.Instances.instance;
import static io.stackhall.core.fleet.Instances.instanceInZone;
import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests of orders to engines that count them, with lost answers and late heartbeats. */
class ResidencyManagerTest extends ResidencyManagerFixture {

    @BeforeEach
    void knowOneEngine() {
        manager.updateInstances(List.of(instance("e", 1, "a")), now);
    }

    @Test
    void orderFollowsTheEnginesOwnCount() {
        reportOrdersTaken(7, false);
        requestsWaitFor("b");
        EngineOrder order = onlyOrder();
        assertThat(order.load()).isTrue();
        assertThat(order.model().value()).isEqualTo("b");
        assertThat(order.expectedTaken()).isEqualTo(7);
    }

    @Test
    void orderIsResentAfterItsAnswerIsLost() {
        reportOrdersTaken(7, false);
        requestsWaitFor("b");
        EngineOrder order = onlyOrder();
        manager.onAnswer(order, EngineAnswer.UNKNOWN, now);
        advanceMillis(400);
        assertThat(onlyOrder()).isEqualTo(order);
    }

    /** Its answer is not used if it finds the leader's lease lapsed for a moment. */
    @Test
    void orderWhoseAnswerIsNotUsedIsNeverSentAgain() {
        reportOrdersTaken(7, false);
        requestsWaitFor("b");
        EngineOrder order = onlyOrder();
        advanceMillis(900);
        assertThat(orders()).isEmpty();
        advanceMillis(1500);
        assertThat(onlyOrder()).isEqualTo(order);
        advanceMillis(900);
        assertThat(orders()).isEmpty();
        advanceMillis(1500);
        assertThat(onlyOrder()).isEqualTo(order);
    }

    @Test
    void modelsOfAnEvacuatedZoneAreLoadedInAnotherOne() {
        manager.updateInstances(
                List.of(instance("e", 1, "a"), instanceInZone("yoff", "other", 1)), now);
        manager.step(now);
        manager.onReport(ENGINE, new EngineReport(0, 4, false, List.of()), now);
        manager.onReport(new UpstreamId("other"), new EngineReport(0, 4, false, List.of()), now);
        manager.setEvacuatedZones(EvacuatedZones.none().with(new ZoneId("plateau")));
        requestsWaitFor("a");
        EngineOrder order = onlyOrder();
        assertThat(order.instance().value()).isEqualTo("other");
        assertThat(order.model()).isEqualTo(new ModelId("a"));
    }

    @Test
    void loadThatWasCarriedOutThoughItsAnswerWasLostStaysCharged() {
        reportOrdersTaken(7, false);
        requestsWaitFor("b");
        refuseAfterALostAnswer(onlyOrder());
        requestsWaitFor("c");
        reportOrdersTaken(8, true);
        advanceMillis(500);
        requestsWaitFor("c");
        reportOrdersTaken(8, false);
        advanceMillis(100);
        assertThat(orders()).noneMatch(sent -> sent.load() && sent.adapter().isEmpty());
    }

    @Test
    void adapterWaitsWhileItsEngineLoadsAModel() {
        reportOrdersTaken(0, false);
        requestsWaitFor("b");
        EngineOrder order = onlyOrder();
        manager.onAnswer(order, EngineAnswer.TAKEN, now);
        manager.requestAdapter(ENGINE, new ModelId("a"), "a1", now);
        assertThat(orders()).isEmpty();
        manager.updateInstances(List.of(instance("e", 2, "a", "b")), now);
        EngineOrder adapter = onlyOrder();
        assertThat(adapter.adapter()).contains("a1");
        assertThat(adapter.expectedTaken()).isEqualTo(1);
    }

    @Test
    void adapterIsOrderedOnAnotherEngineWhileTheOneAskedForIsBusy() {
        reportOrdersTaken(0, false);
        requestsWaitFor("b");
        manager.onAnswer(onlyOrder(), EngineAnswer.TAKEN, now);
        manager.updateInstances(List.of(instance("e", 1, "a"), instance("other", 1, "a")), now);
        manager.step(now);
        EngineReport report = new EngineReport(0, 4, false, List.of());
        manager.onReport(new UpstreamId("other"), report, now);
        manager.requestAdapter(ENGINE, new ModelId("a"), "a1", now);
        EngineOrder adapter = onlyOrder();
        assertThat(adapter.instance().value()).isEqualTo("other");
        assertThat(adapter.expectedTaken()).isEqualTo(4);
    }

    @Test
    void adaptersThatNoHeartbeatHasShownStillTakeSlots() {
        reportOrdersTaken(0, false);
        for (String adapter : List.of("a1", "a2")) {
            manager.requestAdapter(ENGINE, new ModelId("a"), adapter, now);
            manager.onAnswer(onlyOrder(), EngineAnswer.TAKEN, now);
        }
        advanceMillis(60_000);
        manager.requestAdapter(ENGINE, new ModelId("a"), "a3", now);
        assertThat(onlyOrder().load()).isFalse();
    }

    @Test
    void adaptersKeepTheirSlotsThoughAStaleHeartbeatHasAMuchHigherSequence() {
        ModelCopy copy = new ModelCopy(new ModelId("a"), 1, Set.of("a1"));
        manager.step(now);
        manager.onReport(ENGINE, new EngineReport(0, 5, false, List.of(copy)), now);
        manager.requestAdapter(ENGINE, new ModelId("a"), "a2", now);
        manager.onAnswer(onlyOrder(), EngineAnswer.TAKEN, now);
        manager.updateInstances(List.of(instance("e", 9, "a")), now);
        manager.requestAdapter(ENGINE, new ModelId("a"), "a3", now);
        assertThat(onlyOrder().load()).isFalse();
    }

    @Test
    void reportedModelIsChargedThoughAStaleHeartbeatHasAMuchHigherSequence() {
        manager.updateInstances(List.of(instance("e", 1, "a")), now);
        ModelCopy a = new ModelCopy(new ModelId("a"), 1, Set.of());
        ModelCopy c = new ModelCopy(new ModelId("c"), 1, Set.of());
        manager.step(now);
        manager.onReport(ENGINE, new EngineReport(0, 5, false, List.of(a, c)), now);
        manager.updateInstances(List.of(instance("e", 9, "a")), now);
        requestsWaitFor("b");
        assertThat(orders()).noneMatch(EngineOrder::load);
    }

    @Test
    void adaptersOrderedByAPredecessorTakeSlotsThoughNoHeartbeatShowsThem() {
        ModelCopy copy = new ModelCopy(new ModelId("a"), 1, Set.of("a1", "a2"));
        manager.step(now);
        manager.onReport(ENGINE, new EngineReport(0, 2, false, List.of(copy)), now);
        manager.requestAdapter(ENGINE, new ModelId("a"), "a3", now);
        assertThat(onlyOrder().load()).isFalse();
    }

    @Test
    void unloadThatIsDoneAtOnceCountsAsTaken() {
        reportOrdersTaken(3, false);
        for (String adapter : List.of("a1", "a2")) {
            manager.requestAdapter(ENGINE, new ModelId("a"), adapter, now);
            manager.onAnswer(onlyOrder(), EngineAnswer.TAKEN, now);
            advanceMillis(1000);
        }
        manager.requestAdapter(ENGINE, new ModelId("a"), "a3", now);
        List<EngineOrder> next = sent(manager.onAnswer(onlyOrder(), EngineAnswer.HOLDS, now));
        assertThat(next).singleElement().matches(order -> order.expectedTaken() == 6);
    }

    @Test
    void adapterSlotsAreFreedBeforeTheyAreFilled() {
        reportOrdersTaken(0, false);
        for (String adapter : List.of("a1", "a2")) {
            manager.requestAdapter(ENGINE, new ModelId("a"), adapter, now);
            manager.onAnswer(onlyOrder(), EngineAnswer.TAKEN, now);
            advanceMillis(1000);
        }
        manager.requestAdapter(ENGINE, new ModelId("a"), "a3", now);
        EngineOrder first = onlyOrder();
        assertThat(first.load()).isFalse();
        assertThat(first.adapter()).contains("a1");
        assertThat(sent(manager.onAnswer(first, EngineAnswer.HOLDS, now)))
                .singleElement()
                .matches(order -> order.adapter().equals(Optional.of("a3")));
    }

    @Test
    void adapterStillInUseKeepsItsSlotUntilTheEngineReportsItGone() {
        reportOrdersTaken(0, false);
        for (String adapter : List.of("a1", "a2")) {
            manager.requestAdapter(ENGINE, new ModelId("a"), adapter, now);
            manager.onAnswer(onlyOrder(), EngineAnswer.TAKEN, now);
            advanceMillis(1000);
        }
        manager.requestAdapter(ENGINE, new ModelId("a"), "a3", now);
        assertThat(sent(manager.onAnswer(onlyOrder(), EngineAnswer.TAKEN, now))).isEmpty();
        advanceMillis(500);
        reportAdapters("a1", "a2");
        assertThat(orders()).isEmpty();
        advanceMillis(500);
        reportAdapters("a2");
        assertThat(onlyOrder().adapter()).contains("a3");
    }

    @Test
    void modelsOfAnEngineThatIsGoneAreLoadedElsewhere() {
        manager.updateInstances(
                List.of(instance("e", 1, "a", "c"), instance("other", 1, "b")), now);
        reportOrdersTaken(0, false);
        manager.onReport(new UpstreamId("other"), new EngineReport(0, 0, false, List.of()), now);
        requestsWaitFor("b");
        assertThat(orders()).isEmpty();
        manager.updateInstances(List.of(instance("e", 2, "a", "c")), now);
        requestsWaitFor("b");
        assertThat(onlyOrder().load()).as("a model is unloaded to make room for it").isFalse();
    }

    @Test
    void loadsFromTheStoreStayWithinTheWindowsLimit() {
        StoreLoadLimiter limiter = new StoreLoadLimiter(Duration.ofSeconds(5));
        limiter.setRate(1.4);
        assertThat(limiter.availableLoads(now)).isEqualTo(7);
        limiter.recordLoad(now);
        assertThat(limiter.availableLoads(now)).isEqualTo(6);
        limiter.exhaust(now);
        assertThat(limiter.availableLoads(now)).isZero();
        assertThat(limiter.availableLoads(now + Duration.ofSeconds(6).toNanos())).isEqualTo(7);
    }

    @Test
    void modelThatAnUnloadMadeRoomForIsLoadedNext() {
        manager.updateInstances(List.of(instance("e", 1, "a", "c")), now);
        reportOrdersTaken(0, false);
        requestsWaitFor("b");
        EngineOrder unload = onlyOrder();
        assertThat(unload.load()).isFalse();
        manager.onAnswer(unload, EngineAnswer.TAKEN, now);
        manager.updateInstances(
                List.of(instance("e", 2, unload.model().value().equals("a") ? "c" : "a")), now);
        assertThat(onlyOrder()).matches(order -> order.load() && order.model().value().equals("b"));
    }

    @Test
    void unloadedModelIsNotChargedByAnEarlierReport() {
        manager.updateInstances(List.of(instance("e", 1, "a", "c")), now);
        ModelCopy a = new ModelCopy(new ModelId("a"), 1, Set.of());
        ModelCopy c = new ModelCopy(new ModelId("c"), 1, Set.of());
        manager.step(now);
        manager.onReport(ENGINE, new EngineReport(0, 0, false, List.of(a, c)), now);
        requestsWaitFor("b");
        EngineOrder unload = onlyOrder();
        manager.onAnswer(unload, EngineAnswer.TAKEN, now);
        manager.updateInstances(
                List.of(instance("e", 2, unload.model().value().equals("a") ? "c" : "a")), now);
        assertThat(onlyOrder()).matches(EngineOrder::load);
    }

    @Test
    void engineWhoseAddressAnotherInstanceAnswersGetsNothingUntilItsNextHeartbeat() {
        reportOrdersTaken(0, false);
        requestsWaitFor("b");
        manager.onAnswer(onlyOrder(), EngineAnswer.OTHER_INSTANCE, now);
        for (int i = 0; i < 20; i++) {
            advanceMillis(500);
            assertThat(manager.step(now)).isEmpty();
        }
        manager.updateInstances(List.of(instance("e", 2, "a")), now);
        assertThat(manager.step(now))
                .anyMatch(effect -> effect instanceof ResidencyEffect.ReadReport);
    }

    @Test
    void modelsOfAnEngineThatHasCrashedAreLoadedElsewhereAfterOneHeartbeat() {
        manager.updateInstances(
                List.of(instance("e", 1, "a", "c"), instance("other", 1, "b")), now);
        reportOrdersTaken(0, false);
        manager.onReport(new UpstreamId("other"), new EngineReport(0, 0, false, List.of()), now);
        manager.recordConnectFailure(new UpstreamId("other"), new HostId("h"), true);
        requestsWaitFor("b");
        assertThat(orders()).as("its next heartbeat is not overdue yet").isEmpty();
        advanceMillis(1500);
        manager.updateInstances(
                List.of(instance("e", 2, "a", "c"), instance("other", 1, "b")), now);
        requestsWaitFor("b");
        assertThat(onlyOrder().load()).as("a model is unloaded to make room for it").isFalse();
    }

    @Test
    void heartbeatThatArrivesBeforeTheAnswerToAnUnloadCompletesIt() {
        manager.updateInstances(List.of(instance("e", 1, "a", "c")), now);
        reportOrdersTaken(0, false);
        requestsWaitFor("b");
        EngineOrder unload = onlyOrder();
        String left = unload.model().value().equals("a") ? "c" : "a";
        manager.updateInstances(List.of(instance("e", 2, left)), now);
        manager.onAnswer(unload, EngineAnswer.TAKEN, now);
        manager.updateInstances(List.of(instance("e", 2, left)), now);
        assertThat(onlyOrder()).matches(order -> order.load() && order.model().value().equals("b"));
    }

    @Test
    void modelThatTheEngineAnswersItHoldsIsNotOrderedAgain() {
        reportOrdersTaken(7, false);
        requestsWaitFor("b");
        EngineOrder order = onlyOrder();
        manager.onAnswer(order, EngineAnswer.HOLDS, now);
        requestsWaitFor("b");
        advanceMillis(300);
        assertThat(orders()).noneMatch(next -> next.load() && next.model().equals(order.model()));
    }

    @Test
    void engineWithoutModelsIsDetectedAsLostToo() {
        manager.updateInstances(List.of(instance("e", 1, "a", "c"), instance("empty", 1)), now);
        reportOrdersTaken(0, false);
        manager.onReport(new UpstreamId("empty"), new EngineReport(0, 0, false, List.of()), now);
        manager.recordConnectFailure(new UpstreamId("empty"), new HostId("h"), true);
        for (int tick = 0; tick < 40; tick++) {
            advanceMillis(50);
            manager.updateInstances(List.of(instance("e", 2, "a", "c"), instance("empty", 1)), now);
        }
        requestsWaitFor("b");
        assertThat(orders()).noneMatch(order -> order.instance().value().equals("empty"));
    }

    @Test
    void engineThatRefusesAConnectionButSendsHeartbeatsIsNotLost() {
        manager.updateInstances(
                List.of(instance("e", 1, "a", "c"), instance("other", 1, "b")), now);
        reportOrdersTaken(0, false);
        manager.onReport(new UpstreamId("other"), new EngineReport(0, 0, false, List.of()), now);
        manager.recordConnectFailure(new UpstreamId("other"), new HostId("h"), true);
        advanceMillis(1500);
        manager.updateInstances(
                List.of(instance("e", 2, "a", "c"), instance("other", 2, "b")), now);
        advanceMillis(300);
        manager.updateInstances(
                List.of(instance("e", 2, "a", "c"), instance("other", 2, "b")), now);
        requestsWaitFor("b");
        assertThat(orders()).isEmpty();
    }

    @Test
    void noModelIsMovedUntilAllEnginesHadTimeForTheirFirstHeartbeat() {
        manager.restart(false, now);
        manager.updateInstances(List.of(instance("e", 1, "a", "c")), now);
        reportOrdersTaken(0, false);
        assertThat(orders()).isEmpty();
        advanceMillis(3000);
        assertThat(orders()).isNotEmpty();
    }

    private void reportOrdersTaken(long taken, boolean busy) {
        manager.step(now);
        manager.onReport(ENGINE, new EngineReport(0, taken, busy, List.of()), now);
    }
}
