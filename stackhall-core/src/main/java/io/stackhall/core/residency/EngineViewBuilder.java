package io.stackhall.core.residency;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.membership.Artifact;
import io.stackhall.core.policy.PlacementView;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Builds the view of the engines of one service from which a placement policy decides. */
final class EngineViewBuilder {

    private static final String ANY_VERSION = "";

    private final List<EngineTracker> engines;
    private final EngineSpec spec;

    /** Creates a builder over the engines of a service that are not lost. */
    EngineViewBuilder(Collection<EngineTracker> candidates, ServiceName service, EngineSpec spec) {
        this.engines =
                candidates.stream()
                        .filter(engine -> engine.instance().service().equals(service))
                        .filter(engine -> !engine.isLost())
                        .toList();
        this.spec = spec;
    }

    /** Returns the number of engines that hold each model. */
    Map<ModelId, Integer> copyCounts() {
        Map<ModelId, Integer> copies = new HashMap<>();
        for (EngineTracker engine : engines) {
            engine.instance().models().forEach(copy -> copies.merge(copy.model(), 1, Integer::sum));
        }
        return copies;
    }

    /**
     * Returns the view for a placement decision.
     *
     * @param storeLoads the number of loads from the weight store that may start now
     * @param saturatingRate the request rate per second that saturates one engine
     */
    PlacementView view(ModelDemand demand, int storeLoads, double saturatingRate, long now) {
        List<PlacementView.Engine> engineViews = new ArrayList<>();
        engines.forEach(engine -> engineViews.add(engineView(engine)));
        List<PlacementView.DeployedArtifact> deployed = new ArrayList<>();
        for (ModelWeights weights : spec.models().values()) {
            deployed.add(deployedArtifact(weights, engineViews, demand, now));
        }
        return new PlacementView(engineViews, deployed, storeLoads, saturatingRate, now);
    }

    private PlacementView.Engine engineView(EngineTracker engine) {
        Instance instance = engine.instance();
        List<PlacementView.ResidentArtifact> held = new ArrayList<>();
        for (ModelCopy copy : engine.models()) {
            long size =
                    (long)
                            Math.ceil(
                                    spec.model(copy.model())
                                            .map(ModelWeights::weightsMb)
                                            .orElse(0.0));
            held.add(
                    new PlacementView.ResidentArtifact(
                            artifact(copy.model()), size, engine.residentSince(copy.model())));
        }
        Map<ModelId, Duration> localLoadTimes = new HashMap<>();
        for (ModelWeights weights : spec.models().values()) {
            if (instance.inHostMemory().contains(weights.model())) {
                localLoadTimes.put(weights.model(), weights.loadFromMemory());
            } else if (instance.onDisk().contains(weights.model())) {
                localLoadTimes.put(weights.model(), weights.loadFromDisk());
            }
        }
        return new PlacementView.Engine(
                instance.id(),
                (long) Math.floor(engine.freeMb(spec)),
                instance.slots(),
                held,
                !engine.isReadyForOrder(),
                engine.loadingModel().map(EngineViewBuilder::artifact),
                localLoadTimes,
                Optional.of(instance.zone()));
    }

    private static PlacementView.DeployedArtifact deployedArtifact(
            ModelWeights weights,
            List<PlacementView.Engine> engineViews,
            ModelDemand demand,
            long now) {
        ModelId model = weights.model();
        boolean resident = engineViews.stream().anyMatch(engine -> engine.holds(model));
        return new PlacementView.DeployedArtifact(
                artifact(model),
                (long) Math.ceil(weights.weightsMb()),
                Optional.empty(),
                1,
                demand.ratePerSecond(model, now),
                demand.waiting(model, now),
                demand.starvedSeconds(model, resident, now),
                demand.lastUsed(model),
                weights.loadFromStore());
    }

    private static Artifact artifact(ModelId model) {
        return new Artifact(model, ANY_VERSION);
    }
}
