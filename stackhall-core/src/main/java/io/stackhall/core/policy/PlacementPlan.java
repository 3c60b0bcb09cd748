package io.stackhall.core.policy;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Artifact;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Collects the actions of one decision and answers the queries that the policies share. */
final class PlacementPlan {

    private final PlacementView view;
    private final List<PlacementAction> actions = new ArrayList<>();
    private final Set<UpstreamId> assigned = new HashSet<>();
    private final Map<ModelId, PlacementView.DeployedArtifact> deployed = new HashMap<>();
    private final Map<Artifact, Integer> copies = new HashMap<>();
    private final Map<Artifact, Integer> pendingLoads = new HashMap<>();
    private final boolean noneRequestedYet;
    private int loadsLeft;
    private long storeLoads;
    private final boolean noneWaiting;
    private final WeightLocations weightLocations;
    private final Map<UpstreamId, EngineCosts> costs = new HashMap<>();

    PlacementPlan(PlacementView view) {
        this.view = view;
        this.weightLocations = new WeightLocations(view.engines());
        this.storeLoads = view.engines().stream().filter(PlacementPlan::loadsFromStore).count();
        this.noneWaiting = view.deployed().stream().allMatch(one -> one.waiting() == 0);
        this.loadsLeft = view.loadsAllowed();
        this.noneRequestedYet = view.deployed().stream().allMatch(one -> one.lastUsed() == 0);
        view.deployed().forEach(one -> deployed.put(one.artifact().id(), one));
        for (PlacementView.Engine engine : view.engines()) {
            engine.resident()
                    .forEach(resident -> copies.merge(resident.artifact(), 1, Integer::sum));
            engine.loading().ifPresent(this::addPendingLoad);
        }
    }

    /** Returns whether the minimum copies of all deployed artifacts fit into the zone's memory. */
    boolean everythingFits() {
        long requiredMib =
                view.deployed().stream().mapToLong(one -> one.floor() * one.memoryMib()).sum();
        long capacityMib = 0;
        for (PlacementView.Engine engine : view.engines()) {
            capacityMib += engine.freeMib();
            capacityMib +=
                    engine.resident().stream()
                            .mapToLong(PlacementView.ResidentArtifact::memoryMib)
                            .sum();
        }
        return requiredMib <= capacityMib;
    }

    /** Returns how many engines hold this version of an artifact. */
    int copies(Artifact artifact) {
        return copies.getOrDefault(artifact, 0);
    }

    PlacementView view() {
        return view;
    }

    List<PlacementAction> actions() {
        return List.copyOf(actions);
    }

    /** Returns whether no deployed artifact has been requested yet. */
    boolean noneRequestedYet() {
        return noneRequestedYet;
    }

    /** Returns the costs of an engine, which the actions of this decision do not change. */
    EngineCosts costs(PlacementView.Engine engine) {
        return costs.computeIfAbsent(engine.upstream(), id -> EngineCosts.of(this, engine));
    }

    WeightLocations weightLocations() {
        return weightLocations;
    }

    /** Returns whether no request waits for an artifact. */
    boolean noneWaiting() {
        return noneWaiting;
    }

    /** Returns how many loads from the weight store may still be planned. */
    int loadsLeft() {
        return loadsLeft;
    }

    /** Returns how many loads from the weight store are in progress or planned. */
    long storeLoads() {
        return storeLoads;
    }

    /** Returns whether an engine is loading an artifact whose weights it does not store locally. */
    static boolean loadsFromStore(PlacementView.Engine engine) {
        return engine.loading().filter(loading -> !hasLocalWeights(engine, loading)).isPresent();
    }

    private static boolean hasLocalWeights(PlacementView.Engine engine, Artifact artifact) {
        return engine.localLoadTimes().containsKey(artifact.id());
    }

    Optional<PlacementView.DeployedArtifact> deployed(ModelId model) {
        return Optional.ofNullable(deployed.get(model));
    }

    /** Returns whether this decision may still assign an action to an engine. */
    boolean available(PlacementView.Engine engine) {
        return !engine.busy() && !assigned.contains(engine.upstream());
    }

    /** Returns whether an order that loads the artifact is open or planned. */
    boolean hasPendingLoad(Artifact artifact) {
        return pendingLoads.containsKey(artifact);
    }

    /** Returns how many open or planned orders load the artifact. */
    int pendingLoads(Artifact artifact) {
        return pendingLoads.getOrDefault(artifact, 0);
    }

    private void assign(PlacementView.Engine engine) {
        assigned.add(engine.upstream());
        weightLocations.assigned(engine);
    }

    /** Plans a load. */
    void load(PlacementView.Engine engine, PlacementView.DeployedArtifact target) {
        assign(engine);
        if (!hasLocalWeights(engine, target.artifact())) {
            loadsLeft--;
            storeLoads++;
        }
        addPendingLoad(target.artifact());
        actions.add(
                new PlacementAction.Load(
                        engine.upstream(), target.artifact(), target.waiting() > 0));
    }

    void unload(PlacementView.Engine engine, Artifact artifact) {
        assign(engine);
        actions.add(new PlacementAction.Unload(engine.upstream(), artifact));
    }

    /** Plans an unload and the load that it makes room for. */
    void replace(PlacementView.Engine engine, Artifact old, PlacementView.DeployedArtifact target) {
        unload(engine, old);
        load(engine, target);
    }

    /** Returns whether the engine holds the base model that an adapter needs, if it needs one. */
    boolean baseReady(PlacementView.Engine engine, PlacementView.DeployedArtifact target) {
        return target.base().isEmpty() || engine.holds(target.base().get().id());
    }

    /** Returns whether resident adapters on an engine depend on a resident model. */
    boolean carriesAdapters(PlacementView.Engine engine, Artifact artifact) {
        return !adaptersOn(engine, artifact).isEmpty();
    }

    /** Returns the resident adapters on an engine that depend on a base model. */
    List<PlacementView.ResidentArtifact> adaptersOn(
            PlacementView.Engine engine, Artifact artifact) {
        return engine.resident().stream()
                .filter(resident -> needs(deployed.get(resident.artifact().id()), artifact))
                .toList();
    }

    /** Returns whether a resident artifact is an old version, or no longer deployed. */
    boolean obsolete(Artifact artifact) {
        PlacementView.DeployedArtifact current = deployed.get(artifact.id());
        return current == null || !current.artifact().equals(artifact);
    }

    /**
     * Plans to unload artifacts that are no longer deployed, and old versions once the new one is
     * resident somewhere. One unload per engine and decision; a base model only after its adapters.
     */
    void dropObsolete() {
        for (PlacementView.Engine engine : view.engines()) {
            if (!available(engine)) {
                continue;
            }
            engine.resident().stream()
                    .map(PlacementView.ResidentArtifact::artifact)
                    .filter(this::superseded)
                    .filter(artifact -> !carriesAdapters(engine, artifact))
                    .findFirst()
                    .ifPresent(artifact -> unload(engine, artifact));
        }
    }

    private void addPendingLoad(Artifact artifact) {
        pendingLoads.merge(artifact, 1, Integer::sum);
    }

    private boolean superseded(Artifact artifact) {
        if (!obsolete(artifact)) {
            return false;
        }
        PlacementView.DeployedArtifact current = deployed.get(artifact.id());
        return current == null || copies(current.artifact()) > 0;
    }

    private static boolean needs(PlacementView.DeployedArtifact adapter, Artifact artifact) {
        return adapter != null
                && adapter.base().isPresent()
                && adapter.base().get().id().equals(artifact.id());
    }
}
