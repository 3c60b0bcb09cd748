package io.stackhall.core.policy;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.membership.Artifact;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Where models are loaded when engines keep copies of their weights. */
class NearestCopyPolicyTest {

    private static final long NOW = Duration.ofSeconds(1000).toNanos();
    private static final Duration NEAR = Duration.ofSeconds(2);

    private final NearestCopyPolicy policy = new NearestCopyPolicy();

    @Test
    void waitingModelIsLoadedWhereItsWeightsAreAtHand() {
        List<PlacementAction> moves =
                policy.decide(view(List.of(want("w", 1, 3)), seat("far"), seat("near", "w")));
        assertThat(moves).singleElement().isEqualTo(load("near", "w"));
    }

    @Test
    void storeIsNotAskedWhileTheEngineThatHasACopyIsFreeSoon() {
        PlacementView.Engine busy = busy("near", Optional.empty(), "w");
        assertThat(policy.decide(view(List.of(want("w", 1, 3)), seat("far"), busy))).isEmpty();
    }

    @Test
    void storeIsAskedWhileTheEngineThatHasACopyLoadsFromItItself() {
        PlacementView.Engine busy = busy("near", Optional.of("other"), "w");
        List<PlacementAction> moves =
                policy.decide(
                        view(
                                List.of(want("w", 1, 3), want("other", 0, 0)),
                                seat("far"),
                                seat("far2"),
                                seat("far3"),
                                seat("far4"),
                                seat("far5"),
                                busy));
        assertThat(moves).hasSize(1).allMatch(move -> move.artifact().id().value().equals("w"));
    }

    @Test
    void copyThatOthersHaveTooGivesWayBeforeAnOnlyOne() {
        PlacementView.Engine full =
                holding("full", List.of("only", "shared"), "only", "shared", "w");
        PlacementView.Engine other = holding("other", List.of("shared", "x"), "shared", "x");
        List<PlacementView.DeployedArtifact> wants =
                List.of(want("w", 1, 3), want("only", 0, 0), want("shared", 0, 0), want("x", 0, 0));
        assertThat(policy.decide(view(wants, full, other)))
                .contains(new PlacementAction.Unload(new UpstreamId("full"), artifact("shared")));
    }

    @Test
    void modelThatNoEngineKeepsAtHandIsLoadedBeforeItIsAskedFor() {
        List<PlacementAction> moves = policy.decide(view(List.of(want("w", 0, 0)), seat("a")));
        assertThat(moves).singleElement().isInstanceOf(PlacementAction.Load.class);
    }

    @Test
    void loadFromTheStoreGoesWhereNoLastCopyAtHandGivesWay() {
        PlacementView.Engine keepsTheOnly = seat("keeps", "only");
        PlacementView.Engine keepsShared = seat("shares", "shared");
        PlacementView.Engine other = busy("other", Optional.empty(), "shared", "x");
        List<PlacementView.DeployedArtifact> wants =
                List.of(want("w", 1, 3), want("only", 0, 0), want("shared", 0, 0), want("x", 0, 0));
        assertThat(policy.decide(view(wants, keepsTheOnly, keepsShared, other)))
                .contains(load("shares", "w"));
    }

    @Test
    void modelThatIsAskedForOftenGetsASecondCopyFromTheStore() {
        PlacementView.Engine serves = holding("serves", List.of("hot"), "hot");
        List<PlacementAction> moves =
                policy.decide(view(List.of(want("hot", 6, 0)), serves, seat("a"), seat("b")));
        assertThat(moves).singleElement().matches(move -> move instanceof PlacementAction.Load);
    }

    @Test
    void modelThatIsAskedForRarelyGetsNoSecondCopyWhileOthersWait() {
        PlacementView.Engine serves = holding("serves", List.of("rare", "y"), "rare", "y");
        List<PlacementView.DeployedArtifact> wants = List.of(want("rare", 0.5, 0), want("y", 0, 1));
        assertThat(policy.decide(view(wants, serves, seat("a")))).isEmpty();
    }

    @Test
    void weightsThatOneEngineAloneKeepsAreBroughtToAnotherInCalm() {
        PlacementView.Engine serves = holding("serves", List.of("rare"), "rare");
        assertThat(policy.decide(view(List.of(want("rare", 0, 0)), serves, seat("a"))))
                .singleElement()
                .matches(move -> move instanceof PlacementAction.Load);
    }

    @Test
    void freePlaceIsFilledFromACopyAtHandThoughNobodyWaits() {
        assertThat(policy.decide(view(List.of(want("w", 0, 0)), seat("a", "w"))))
                .singleElement()
                .isInstanceOf(PlacementAction.Load.class);
    }

    @Test
    void roomIsMadeTogetherWithTheLoadThatNeedsIt() {
        PlacementView.Engine full = holding("full", List.of("x", "y"), "x", "y", "w");
        List<PlacementView.DeployedArtifact> wants =
                List.of(want("w", 1, 3), want("x", 0, 0), want("y", 0, 0));
        assertThat(policy.decide(view(wants, full)))
                .hasSize(2)
                .element(1)
                .isEqualTo(load("full", "w"));
    }

    @Test
    void secondCopyGoesToAnotherZone() {
        PlacementView.Engine serves = holding("a1", List.of("hot"), "hot");
        assertThat(policy.decide(view(List.of(want("hot", 6, 0)), serves, seat("a2"), seat("b1"))))
                .singleElement()
                .matches(move -> move.upstream().value().equals("b1"));
    }

    @Test
    void whoeverIsAskedForMostIsPlacedBeforeOneThatASingleRequestWaitsFor() {
        PlacementView.Engine serves = holding("serves", List.of("hot", "hot2"), "hot");
        PlacementView.Engine free = seat("free", "hot", "w");
        List<PlacementView.DeployedArtifact> wants =
                List.of(want("hot", 40, 10), want("w", 0.2, 1), want("hot2", 1, 0));
        assertThat(policy.decide(view(wants, serves, free)))
                .first()
                .matches(move -> move.artifact().equals(artifact("hot")));
    }

    @Test
    void enginesThatDoMoreNeedFewerCopies() {
        PlacementView.Engine one = holding("a1", List.of("hot"), "hot");
        PlacementView.Engine two = holding("b1", List.of("hot"), "hot");
        PlacementView.Engine full = holding("c1", List.of("x", "y"), "hot", "x", "y");
        List<PlacementView.DeployedArtifact> wants =
                List.of(want("hot", 20, 0), want("x", 0.5, 0), want("y", 0.5, 0));
        List<PlacementView.Engine> seats = List.of(one, two, full);
        assertThat(policy.decide(new PlacementView(seats, wants, 7, 8, NOW))).isNotEmpty();
        assertThat(policy.decide(new PlacementView(seats, wants, 7, 80, NOW))).isEmpty();
    }

    @Test
    void loadTimeIsThatOfTheModel() {
        PlacementView.Engine full = holding("full", List.of("x"), "x");
        PlacementView.Engine other = holding("other", List.of("hot", "z"), "hot", "x");
        List<PlacementView.DeployedArtifact> quick =
                List.of(want("hot", 4, 0, 1), want("x", 0, 0, 1), want("z", 0.1, 0, 1));
        List<PlacementView.DeployedArtifact> slow =
                List.of(want("hot", 4, 0, 60), want("x", 0, 0, 60), want("z", 0.1, 0, 60));
        assertThat(policy.decide(view(quick, full, other)))
                .anyMatch(move -> move instanceof PlacementAction.Load);
        assertThat(policy.decide(view(slow, full, other)))
                .noneMatch(move -> move instanceof PlacementAction.Load);
    }

    /**
     * Rare models that are asked for together leave engines free for one that is asked for more.
     */
    @Test
    void rareModelsThatWaitTogetherTakeAThirdOfTheEnginesAtMost() {
        List<PlacementView.DeployedArtifact> wants = new ArrayList<>();
        List<PlacementView.Engine> seats = new ArrayList<>();
        for (int number = 0; number < 9; number++) {
            wants.add(want("rare" + number, 0.3, 1, 8));
            seats.add(seat("engine" + number));
        }
        assertThat(loads(wants, seats)).hasSize(3);
        wants.add(want("busy", 20, 5, 8));
        assertThat(loads(wants, seats)).contains(load("engine0", "busy")).hasSize(3);
    }

    /** An engine that loads for long cannot load what it alone has at hand. */
    @Test
    void loadFromTheStoreGoesWhereItBlocksNoOtherModel() {
        List<PlacementView.DeployedArtifact> wants =
                List.of(
                        want("rare", 0.3, 1, 8),
                        want("next", 0, 0, 8),
                        want("x", 0, 0, 8),
                        want("y", 0, 0, 8));
        List<PlacementView.Engine> seats =
                List.of(
                        holding("alone", List.of("x", "y"), "x", "y", "next"),
                        holding("also", List.of("x", "y"), "x", "y"));
        assertThat(loads(wants, seats)).contains(load("also", "rare"));
    }

    private List<PlacementAction> loads(
            List<PlacementView.DeployedArtifact> wants, List<PlacementView.Engine> seats) {
        return policy.decide(new PlacementView(seats, wants, 20, NOW)).stream()
                .filter(PlacementAction.Load.class::isInstance)
                .toList();
    }

    private static PlacementView.DeployedArtifact want(
            String model, double rate, int waiting, int storeSeconds) {
        return new PlacementView.DeployedArtifact(
                artifact(model),
                100,
                Optional.empty(),
                1,
                rate,
                waiting,
                0,
                1,
                Duration.ofSeconds(storeSeconds));
    }

    private static PlacementAction load(String seat, String model) {
        return new PlacementAction.Load(new UpstreamId(seat), artifact(model), true);
    }

    private static PlacementView view(
            List<PlacementView.DeployedArtifact> wants, PlacementView.Engine... seats) {
        return new PlacementView(List.of(seats), wants, 7, NOW);
    }

    private static PlacementView.Engine seat(String name, String... near) {
        return holding(name, List.of(), near);
    }

    private static PlacementView.Engine holding(String name, List<String> held, String... near) {
        return seat(name, held, false, Optional.empty(), near);
    }

    private static PlacementView.Engine busy(
            String name, Optional<String> loading, String... near) {
        return seat(name, List.of(), true, loading, near);
    }

    private static PlacementView.Engine seat(
            String name,
            List<String> held,
            boolean busy,
            Optional<String> loading,
            String... near) {
        Map<ModelId, Duration> copies = new java.util.HashMap<>();
        Arrays.stream(near).forEach(model -> copies.put(new ModelId(model), NEAR));
        return new PlacementView.Engine(
                new UpstreamId(name),
                200L - 100L * held.size(),
                4,
                held.stream()
                        .map(model -> new PlacementView.ResidentArtifact(artifact(model), 100, 0))
                        .toList(),
                busy,
                loading.map(NearestCopyPolicyTest::artifact),
                copies,
                Optional.of(new ZoneId(name.substring(0, 1))));
    }

    private static PlacementView.DeployedArtifact want(String model, double rate, int waiting) {
        return new PlacementView.DeployedArtifact(
                artifact(model), 100, Optional.empty(), 1, rate, waiting, 0, 0);
    }

    private static Artifact artifact(String model) {
        return new Artifact(new ModelId(model), "1");
    }
}
