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

/** What each policy wants in a given zone. */
class PlacementPolicyTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long NOW = 1000 * SECOND;
    private static final UpstreamId UPSTREAM = new UpstreamId("u");

    @Test
    void expectedGainEvictsTheModelThatIsAskedForLeastThoughItWasUsedLast() {
        PlacementView view =
                view(
                        0,
                        List.of(held("busy", 60), held("idle", 60)),
                        want("busy", 1.0, 0, 0, NOW - 5 * SECOND),
                        want("idle", 0.01, 0, 0, NOW - SECOND),
                        want("new", 0.1, 1, 0, NOW));
        assertThat(decide(PolicyName.EXPECTED_GAIN, view))
                .containsExactly(new PlacementAction.Unload(UPSTREAM, artifact("idle")));
        assertThat(decide(PolicyName.LEAST_RECENTLY_USED, view))
                .containsExactly(new PlacementAction.Unload(UPSTREAM, artifact("busy")));
    }

    @Test
    void expectedGainKeepsABusyModelUntilTheOtherHasStarvedLongEnough() {
        List<PlacementView.ResidentArtifact> resident = List.of(held("busy", 60));
        PlacementView.DeployedArtifact busy = want("busy", 0.2, 0, 0, NOW);
        assertThat(
                        decide(
                                PolicyName.EXPECTED_GAIN,
                                view(0, resident, busy, want("rare", 0.01, 1, 1, NOW))))
                .isEmpty();
        assertThat(
                        decide(
                                PolicyName.EXPECTED_GAIN,
                                view(0, resident, busy, want("rare", 0.01, 1, 20, NOW))))
                .containsExactly(new PlacementAction.Unload(UPSTREAM, artifact("busy")));
    }

    @Test
    void expectedGainDoesNotUndoWhatWasJustLoaded() {
        PlacementView view =
                view(
                        0,
                        List.of(held("fresh", 2)),
                        want("fresh", 0, 0, 0, NOW),
                        want("new", 5, 9, 60, NOW));
        assertThat(decide(PolicyName.EXPECTED_GAIN, view)).isEmpty();
    }

    @Test
    void waitingModelIsLoadedIntoFreeMemoryByEveryPolicy() {
        for (PolicyName name : PolicyName.values()) {
            PlacementView view = view(500, List.of(), want("new", 0.1, 1, 0, NOW));
            assertThat(decide(name, view))
                    .as(name.text())
                    .containsExactly(new PlacementAction.Load(UPSTREAM, artifact("new"), true));
        }
    }

    @Test
    void modelThatCarriesAdaptersIsEvictedAfterThem() {
        PlacementView.ResidentArtifact base = held("base", 60);
        PlacementView.ResidentArtifact adapter =
                new PlacementView.ResidentArtifact(artifact("adapter"), 1, NOW - 60 * SECOND);
        PlacementView.DeployedArtifact wantsBase =
                new PlacementView.DeployedArtifact(
                        artifact("adapter"), 1, Optional.of(artifact("base")), 1, 0.01, 0, 0, NOW);
        PlacementView.DeployedArtifact starving = want("new", 0.1, 1, 30, NOW);
        PlacementView.DeployedArtifact idle = want("base", 0.01, 0, 0, NOW);
        for (PolicyName name : List.of(PolicyName.EXPECTED_GAIN, PolicyName.LEAST_RECENTLY_USED)) {
            PlacementView both = view(0, List.of(base, adapter), idle, wantsBase, starving);
            assertThat(decide(name, both))
                    .as(name.text())
                    .containsExactly(new PlacementAction.Unload(UPSTREAM, artifact("adapter")));
            PlacementView left = view(1, List.of(base), idle, wantsBase, starving);
            assertThat(decide(name, left))
                    .as(name.text())
                    .containsExactly(new PlacementAction.Unload(UPSTREAM, artifact("base")));
        }
    }

    @Test
    void oldVersionStaysUntilTheNewOneServes() {
        Artifact old = new Artifact(new ModelId("m"), "0");
        PlacementView.ResidentArtifact heldOld = new PlacementView.ResidentArtifact(old, 100, 0);
        PlacementView.DeployedArtifact want = want("m", 1, 0, 0, NOW);
        for (PolicyName name : PolicyName.values()) {
            assertThat(decide(name, view(0, List.of(heldOld), want)))
                    .as(name.text())
                    .noneMatch(move -> move instanceof PlacementAction.Unload);
            assertThat(decide(name, view(0, List.of(heldOld, held("m", 60)), want)))
                    .as(name.text())
                    .containsExactly(new PlacementAction.Unload(UPSTREAM, old));
        }
    }

    private static List<PlacementAction> decide(PolicyName name, PlacementView view) {
        return PlacementPolicy.of(name).decide(view);
    }

    private static PlacementView view(
            long freeMib,
            List<PlacementView.ResidentArtifact> held,
            PlacementView.DeployedArtifact... wants) {
        PlacementView.Engine seat =
                new PlacementView.Engine(UPSTREAM, freeMib, 4, held, false, Optional.empty());
        return new PlacementView(List.of(seat), List.of(wants), 10, NOW);
    }

    private static PlacementView.ResidentArtifact held(String model, long secondsAgo) {
        return new PlacementView.ResidentArtifact(artifact(model), 100, NOW - secondsAgo * SECOND);
    }

    private static PlacementView.DeployedArtifact want(
            String model, double rate, int waiting, double starved, long lastUsed) {
        return new PlacementView.DeployedArtifact(
                artifact(model), 100, Optional.empty(), 1, rate, waiting, starved, lastUsed);
    }

    private static Artifact artifact(String model) {
        return new Artifact(new ModelId(model), "1");
    }
}
