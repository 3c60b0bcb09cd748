package io.stackhall.core.policy;

import static org.assertj.core.api.Assertions.assertThat;

import io.stackhall.core.config.PolicyName;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Artifact;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the actions that each policy decides on for a given zone. */
class PlacementPolicyTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long NOW = 1000 * SECOND;
    private static final UpstreamId UPSTREAM = new UpstreamId("u");

    @Test
    void expectedGainEvictsTheModelWithFewestRequestsThoughItWasUsedLast() {
        PlacementView view =
                view(
                        0,
                        List.of(resident("busy", 60), resident("idle", 60)),
                        deployed("busy", 1.0, 0, 0, NOW - 5 * SECOND),
                        deployed("idle", 0.01, 0, 0, NOW - SECOND),
                        deployed("new", 0.1, 1, 0, NOW));
        assertThat(decide(PolicyName.EXPECTED_GAIN, view))
                .containsExactly(new PlacementAction.Unload(UPSTREAM, artifact("idle")));
        assertThat(decide(PolicyName.LEAST_RECENTLY_USED, view))
                .containsExactly(new PlacementAction.Unload(UPSTREAM, artifact("busy")));
    }

    @Test
    void expectedGainKeepsABusyModelUntilTheOtherHasStarvedLongEnough() {
        List<PlacementView.ResidentArtifact> resident = List.of(resident("busy", 60));
        PlacementView.DeployedArtifact busy = deployed("busy", 0.2, 0, 0, NOW);
        assertThat(
                        decide(
                                PolicyName.EXPECTED_GAIN,
                                view(0, resident, busy, deployed("rare", 0.01, 1, 1, NOW))))
                .isEmpty();
        assertThat(
                        decide(
                                PolicyName.EXPECTED_GAIN,
                                view(0, resident, busy, deployed("rare", 0.01, 1, 20, NOW))))
                .containsExactly(new PlacementAction.Unload(UPSTREAM, artifact("busy")));
    }

    @Test
    void expectedGainDoesNotUndoWhatWasJustLoaded() {
        PlacementView view =
                view(
                        0,
                        List.of(resident("fresh", 2)),
                        deployed("fresh", 0, 0, 0, NOW),
                        deployed("new", 5, 9, 60, NOW));
        assertThat(decide(PolicyName.EXPECTED_GAIN, view)).isEmpty();
    }

    @Test
    void waitingModelIsLoadedIntoFreeMemoryByEveryPolicy() {
        for (PolicyName name : PolicyName.values()) {
            PlacementView view = view(500, List.of(), deployed("new", 0.1, 1, 0, NOW));
            assertThat(decide(name, view))
                    .as(name.text())
                    .containsExactly(new PlacementAction.Load(UPSTREAM, artifact("new"), true));
        }
    }

    @Test
    void modelThatCarriesAdaptersIsEvictedAfterThem() {
        PlacementView.ResidentArtifact base = resident("base", 60);
        PlacementView.ResidentArtifact adapter =
                new PlacementView.ResidentArtifact(artifact("adapter"), 1, NOW - 60 * SECOND);
        PlacementView.DeployedArtifact deployedAdapter =
                new PlacementView.DeployedArtifact(
                        artifact("adapter"), 1, Optional.of(artifact("base")), 1, 0.01, 0, 0, NOW);
        PlacementView.DeployedArtifact starving = deployed("new", 0.1, 1, 30, NOW);
        PlacementView.DeployedArtifact idle = deployed("base", 0.01, 0, 0, NOW);
        for (PolicyName name : List.of(PolicyName.EXPECTED_GAIN, PolicyName.LEAST_RECENTLY_USED)) {
            PlacementView both = view(0, List.of(base, adapter), idle, deployedAdapter, starving);
            assertThat(decide(name, both))
                    .as(name.text())
                    .containsExactly(new PlacementAction.Unload(UPSTREAM, artifact("adapter")));
            PlacementView left = view(1, List.of(base), idle, deployedAdapter, starving);
            assertThat(decide(name, left))
                    .as(name.text())
                    .containsExactly(new PlacementAction.Unload(UPSTREAM, artifact("base")));
        }
    }

    @Test
    void oldVersionStaysUntilTheNewOneServes() {
        Artifact old = new Artifact(new ModelId("m"), "0");
        PlacementView.ResidentArtifact residentOld =
                new PlacementView.ResidentArtifact(old, 100, 0);
        PlacementView.DeployedArtifact deployed = deployed("m", 1, 0, 0, NOW);
        for (PolicyName name : PolicyName.values()) {
            assertThat(decide(name, view(0, List.of(residentOld), deployed)))
                    .as(name.text())
                    .noneMatch(action -> action instanceof PlacementAction.Unload);
            assertThat(decide(name, view(0, List.of(residentOld, resident("m", 60)), deployed)))
                    .as(name.text())
                    .containsExactly(new PlacementAction.Unload(UPSTREAM, old));
        }
    }

    private static List<PlacementAction> decide(PolicyName name, PlacementView view) {
        return PlacementPolicy.of(name).decide(view);
    }

    private static PlacementView view(
            long freeMib,
            List<PlacementView.ResidentArtifact> resident,
            PlacementView.DeployedArtifact... deployed) {
        PlacementView.Engine engine =
                new PlacementView.Engine(UPSTREAM, freeMib, 4, resident, false, Optional.empty());
        return new PlacementView(List.of(engine), List.of(deployed), 10, NOW);
    }

    private static PlacementView.ResidentArtifact resident(String model, long secondsAgo) {
        return new PlacementView.ResidentArtifact(artifact(model), 100, NOW - secondsAgo * SECOND);
    }

    private static PlacementView.DeployedArtifact deployed(
            String model, double rate, int waiting, double starved, long lastUsed) {
        return new PlacementView.DeployedArtifact(
                artifact(model), 100, Optional.empty(), 1, rate, waiting, starved, lastUsed);
    }

    private static Artifact artifact(String model) {
        return new Artifact(new ModelId(model), "1");
    }
}
