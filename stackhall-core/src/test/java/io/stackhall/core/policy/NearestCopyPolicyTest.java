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

/** Tests where models are loaded when engines store some weights locally. */
class NearestCopyPolicyTest {

    private static final long NOW = Duration.ofSeconds(1000).toNanos();
    private static final Duration LOCAL_LOAD_TIME = Duration.ofSeconds(2);

    private final NearestCopyPolicy policy = new NearestCopyPolicy();

    @Test
    void waitingModelIsLoadedFromLocalWeights() {
        List<PlacementAction> actions =
                policy.decide(
                        view(List.of(deployed("w", 1, 3)), engine("far"), engine("near", "w")));
        assertThat(actions).singleElement().isEqualTo(load("near", "w"));
    }

    @Test
    void storeIsNotUsedWhileAnEngineWithLocalWeightsIsFreeSoon() {
        PlacementView.Engine busy = busy("near", Optional.empty(), "w");
        assertThat(policy.decide(view(List.of(deployed("w", 1, 3)), engine("far"), busy)))
                .isEmpty();
    }

    @Test
    void storeIsUsedWhileTheEngineWithLocalWeightsLoadsFromTheStore() {
        PlacementView.Engine busy = busy("near", Optional.of("other"), "w");
        List<PlacementAction> actions =
                policy.decide(
                        view(
                                List.of(deployed("w", 1, 3), deployed("other", 0, 0)),
                                engine("far"),
                                engine("far2"),
                                engine("far3"),
                                engine("far4"),
                                engine("far5"),
                                busy));
        assertThat(actions)
                .hasSize(1)
                .allMatch(action -> action.artifact().id().value().equals("w"));
    }

    @Test
    void copyWithOtherLocationsIsEvictedBeforeAnOnlyOne() {
        PlacementView.Engine full =
                holding("full", List.of("only", "shared"), "only", "shared", "w");
        PlacementView.Engine other = holding("other", List.of("shared", "x"), "shared", "x");
        List<PlacementView.DeployedArtifact> deployed =
                List.of(
                        deployed("w", 1, 3),
                        deployed("only", 0, 0),
                        deployed("shared", 0, 0),
                        deployed("x", 0, 0));
        assertThat(policy.decide(view(deployed, full, other)))
                .contains(new PlacementAction.Unload(new UpstreamId("full"), artifact("shared")));
    }

    @Test
    void modelWithoutWeightLocationIsLoadedBeforeItIsRequested() {
        List<PlacementAction> actions =
                policy.decide(view(List.of(deployed("w", 0, 0)), engine("a")));
        assertThat(actions).singleElement().isInstanceOf(PlacementAction.Load.class);
    }

    @Test
    void loadFromTheStoreDisplacesNoOnlyLocalWeights() {
        PlacementView.Engine storesTheOnly = engine("keeps", "only");
        PlacementView.Engine storesShared = engine("shares", "shared");
        PlacementView.Engine other = busy("other", Optional.empty(), "shared", "x");
        List<PlacementView.DeployedArtifact> deployed =
                List.of(
                        deployed("w", 1, 3),
                        deployed("only", 0, 0),
                        deployed("shared", 0, 0),
                        deployed("x", 0, 0));
        assertThat(policy.decide(view(deployed, storesTheOnly, storesShared, other)))
                .contains(load("shares", "w"));
    }

    @Test
    void frequentlyRequestedModelGetsASecondCopyFromTheStore() {
        PlacementView.Engine serves = holding("serves", List.of("hot"), "hot");
        List<PlacementAction> actions =
                policy.decide(
                        view(List.of(deployed("hot", 6, 0)), serves, engine("a"), engine("b")));
        assertThat(actions)
                .singleElement()
                .matches(action -> action instanceof PlacementAction.Load);
    }

    @Test
    void rarelyRequestedModelGetsNoSecondCopyWhileOthersWait() {
        PlacementView.Engine serves = holding("serves", List.of("rare", "y"), "rare", "y");
        List<PlacementView.DeployedArtifact> deployed =
                List.of(deployed("rare", 0.5, 0), deployed("y", 0, 1));
        assertThat(policy.decide(view(deployed, serves, engine("a")))).isEmpty();
    }

    @Test
    void onlyWeightLocationGetsASecondOneWhileNoRequestsWait() {
        PlacementView.Engine serves = holding("serves", List.of("rare"), "rare");
        assertThat(policy.decide(view(List.of(deployed("rare", 0, 0)), serves, engine("a"))))
                .singleElement()
                .matches(action -> action instanceof PlacementAction.Load);
    }

    @Test
    void freeMemoryIsFilledFromLocalWeightsWithoutWaitingRequests() {
        assertThat(policy.decide(view(List.of(deployed("w", 0, 0)), engine("a", "w"))))
                .singleElement()
                .isInstanceOf(PlacementAction.Load.class);
    }

    @Test
    void evictionIsFollowedByTheLoadThatNeedsIt() {
        PlacementView.Engine full = holding("full", List.of("x", "y"), "x", "y", "w");
        List<PlacementView.DeployedArtifact> deployed =
                List.of(deployed("w", 1, 3), deployed("x", 0, 0), deployed("y", 0, 0));
        assertThat(policy.decide(view(deployed, full)))
                .hasSize(2)
                .element(1)
                .isEqualTo(load("full", "w"));
    }

    @Test
    void secondCopyGoesToAnotherZone() {
        PlacementView.Engine serves = holding("a1", List.of("hot"), "hot");
        assertThat(
                        policy.decide(
                                view(
                                        List.of(deployed("hot", 6, 0)),
                                        serves,
                                        engine("a2"),
                                        engine("b1"))))
                .singleElement()
                .matches(action -> action.upstream().value().equals("b1"));
    }

    @Test
    void modelWithMostRequestsIsPlacedBeforeOneWithASingleWaitingRequest() {
        PlacementView.Engine serves = holding("serves", List.of("hot", "hot2"), "hot");
        PlacementView.Engine free = engine("free", "hot", "w");
        List<PlacementView.DeployedArtifact> deployed =
                List.of(deployed("hot", 40, 10), deployed("w", 0.2, 1), deployed("hot2", 1, 0));
        assertThat(policy.decide(view(deployed, serves, free)))
                .first()
                .matches(action -> action.artifact().equals(artifact("hot")));
    }

    @Test
    void enginesOfHigherCapacityNeedFewerCopies() {
        PlacementView.Engine one = holding("a1", List.of("hot"), "hot");
        PlacementView.Engine two = holding("b1", List.of("hot"), "hot");
        PlacementView.Engine full = holding("c1", List.of("x", "y"), "hot", "x", "y");
        List<PlacementView.DeployedArtifact> deployed =
                List.of(deployed("hot", 20, 0), deployed("x", 0.5, 0), deployed("y", 0.5, 0));
        List<PlacementView.Engine> engines = List.of(one, two, full);
        assertThat(policy.decide(new PlacementView(engines, deployed, 7, 8, NOW))).isNotEmpty();
        assertThat(policy.decide(new PlacementView(engines, deployed, 7, 80, NOW))).isEmpty();
    }

    @Test
    void longerLoadTimeOfTheModelPreventsASpeculativeLoad() {
        PlacementView.Engine full = holding("full", List.of("x"), "x");
        PlacementView.Engine other = holding("other", List.of("hot", "z"), "hot", "x");
        List<PlacementView.DeployedArtifact> fast =
                List.of(deployed("hot", 4, 0, 1), deployed("x", 0, 0, 1), deployed("z", 0.1, 0, 1));
        List<PlacementView.DeployedArtifact> slow =
                List.of(
                        deployed("hot", 4, 0, 60),
                        deployed("x", 0, 0, 60),
                        deployed("z", 0.1, 0, 60));
        assertThat(policy.decide(view(fast, full, other)))
                .anyMatch(action -> action instanceof PlacementAction.Load);
        assertThat(policy.decide(view(slow, full, other)))
                .noneMatch(action -> action instanceof PlacementAction.Load);
    }

    /**
     * Loads of several rarely requested models at once must leave engines free for a model with
     * higher demand.
     */
    @Test
    void rareModelsThatWaitTogetherTakeAThirdOfTheEnginesAtMost() {
        List<PlacementView.DeployedArtifact> deployed = new ArrayList<>();
        List<PlacementView.Engine> engines = new ArrayList<>();
        for (int number = 0; number < 9; number++) {
            deployed.add(deployed("rare" + number, 0.3, 1, 8));
            engines.add(engine("engine" + number));
        }
        assertThat(loads(deployed, engines)).hasSize(3);
        deployed.add(deployed("busy", 20, 5, 8));
        assertThat(loads(deployed, engines)).contains(load("engine0", "busy")).hasSize(3);
    }

    /**
     * While an engine loads from the store, it cannot load a model whose weights it alone stores.
     */
    @Test
    void loadFromTheStoreGoesWhereItBlocksNoOtherModel() {
        List<PlacementView.DeployedArtifact> deployed =
                List.of(
                        deployed("rare", 0.3, 1, 8),
                        deployed("next", 0, 0, 8),
                        deployed("x", 0, 0, 8),
                        deployed("y", 0, 0, 8));
        List<PlacementView.Engine> engines =
                List.of(
                        holding("alone", List.of("x", "y"), "x", "y", "next"),
                        holding("also", List.of("x", "y"), "x", "y"));
        assertThat(loads(deployed, engines)).contains(load("also", "rare"));
    }

    private List<PlacementAction> loads(
            List<PlacementView.DeployedArtifact> deployed, List<PlacementView.Engine> engines) {
        return policy.decide(new PlacementView(engines, deployed, 20, NOW)).stream()
                .filter(PlacementAction.Load.class::isInstance)
                .toList();
    }

    private static PlacementView.DeployedArtifact deployed(
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

    private static PlacementAction load(String engine, String model) {
        return new PlacementAction.Load(new UpstreamId(engine), artifact(model), true);
    }

    private static PlacementView view(
            List<PlacementView.DeployedArtifact> deployed, PlacementView.Engine... engines) {
        return new PlacementView(List.of(engines), deployed, 7, NOW);
    }

    private static PlacementView.Engine engine(String name, String... localWeights) {
        return holding(name, List.of(), localWeights);
    }

    private static PlacementView.Engine holding(
            String name, List<String> resident, String... localWeights) {
        return engine(name, resident, false, Optional.empty(), localWeights);
    }

    private static PlacementView.Engine busy(
            String name, Optional<String> loading, String... localWeights) {
        return engine(name, List.of(), true, loading, localWeights);
    }

    private static PlacementView.Engine engine(
            String name,
            List<String> resident,
            boolean busy,
            Optional<String> loading,
            String... localWeights) {
        Map<ModelId, Duration> copies = new java.util.HashMap<>();
        Arrays.stream(localWeights)
                .forEach(model -> copies.put(new ModelId(model), LOCAL_LOAD_TIME));
        return new PlacementView.Engine(
                new UpstreamId(name),
                200L - 100L * resident.size(),
                4,
                resident.stream()
                        .map(model -> new PlacementView.ResidentArtifact(artifact(model), 100, 0))
                        .toList(),
                busy,
                loading.map(NearestCopyPolicyTest::artifact),
                copies,
                Optional.of(new ZoneId(name.substring(0, 1))));
    }

    private static PlacementView.DeployedArtifact deployed(String model, double rate, int waiting) {
        return new PlacementView.DeployedArtifact(
                artifact(model), 100, Optional.empty(), 1, rate, waiting, 0, 0);
    }

    private static Artifact artifact(String model) {
        return new Artifact(new ModelId(model), "1");
    }
}
