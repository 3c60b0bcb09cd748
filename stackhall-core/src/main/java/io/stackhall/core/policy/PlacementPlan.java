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

/** The moves of one decision as they are gathered, and what the policies share in judging them. */
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
        this.noneWaiting = view.deployed().stream().allMatch(want -> want.waiting() == 0);
        this.loadsLeft = view.loadsAllowed();
        this.noneRequestedYet = view.deployed().stream().allMatch(want -> want.lastUsed() == 0);
        view.deployed().forEach(want -> deployed.put(want.artifact().id(), want));
        for (PlacementView.Engine seat : view.engines()) {
            seat.resident().forEach(held -> copies.merge(held.artifact(), 1, Integer::sum));
            seat.loading().ifPresent(this::addPendingLoad);
        }
    }

    /** Returns whether the floors of everything deployed fit into the zone's memory together. */
    boolean everythingFits() {
        long wantedMib =
                view.deployed().stream().mapToLong(want -> want.floor() * want.memoryMib()).sum();
        long capacityMib = 0;
        for (PlacementView.Engine seat : view.engines()) {
            capacityMib += seat.freeMib();
            capacityMib +=
                    seat.resident().stream()
                            .mapToLong(PlacementView.ResidentArtifact::memoryMib)
                            .sum();
        }
        return wantedMib <= capacityMib;
    }

    /** Returns how many upstreams hold this very artifact. */
    int copies(Artifact artifact) {
        return copies.getOrDefault(artifact, 0);
    }

    PlacementView view() {
        return view;
    }

    List<PlacementAction> actions() {
        return List.copyOf(actions);
    }

    /** Returns whether nothing has been asked for yet. */
    boolean noneRequestedYet() {
        return noneRequestedYet;
    }

    /** Returns what it costs to use a seat, which no move of this decision changes. */
    EngineCosts costs(PlacementView.Engine seat) {
        return costs.computeIfAbsent(seat.upstream(), id -> EngineCosts.of(this, seat));
    }

    WeightLocations weightLocations() {
        return weightLocations;
    }

    /** Returns whether nobody waits for anything. */
    boolean noneWaiting() {
        return noneWaiting;
    }

    /** Returns how many loads from the weight store may still be planned. */
    int loadsLeft() {
        return loadsLeft;
    }

    /** Returns how many loads from the weight store are under way or planned. */
    long storeLoads() {
        return storeLoads;
    }

    /** Returns whether a seat is loading an artifact whose weights it has not at hand. */
    static boolean loadsFromStore(PlacementView.Engine seat) {
        return seat.loading().filter(loading -> !hasLocalWeights(seat, loading)).isPresent();
    }

    private static boolean hasLocalWeights(PlacementView.Engine seat, Artifact artifact) {
        return seat.localLoadTimes().containsKey(artifact.id());
    }

    Optional<PlacementView.DeployedArtifact> deployed(ModelId model) {
        return Optional.ofNullable(deployed.get(model));
    }

    /** Returns whether this decision may still order something of an upstream. */
    boolean available(PlacementView.Engine seat) {
        return !seat.busy() && !assigned.contains(seat.upstream());
    }

    /** Returns whether an order that loads the artifact is open or planned. */
    boolean hasPendingLoad(Artifact artifact) {
        return pendingLoads.containsKey(artifact);
    }

    /** Returns how many open or planned orders load the artifact. */
    int pendingLoads(Artifact artifact) {
        return pendingLoads.getOrDefault(artifact, 0);
    }

    private void assign(PlacementView.Engine seat) {
        assigned.add(seat.upstream());
        weightLocations.assigned(seat);
    }

    void load(PlacementView.Engine seat, PlacementView.DeployedArtifact want) {
        assign(seat);
        if (!hasLocalWeights(seat, want.artifact())) {
            loadsLeft--;
            storeLoads++;
        }
        addPendingLoad(want.artifact());
        actions.add(new PlacementAction.Load(seat.upstream(), want.artifact(), want.waiting() > 0));
    }

    void unload(PlacementView.Engine seat, Artifact artifact) {
        assign(seat);
        actions.add(new PlacementAction.Unload(seat.upstream(), artifact));
    }

    /** Plans an unload and the load that it makes room for. */
    void replace(PlacementView.Engine seat, Artifact old, PlacementView.DeployedArtifact want) {
        unload(seat, old);
        load(seat, want);
    }

    /** Returns whether an adapter's base is there, or none is needed. */
    boolean baseReady(PlacementView.Engine seat, PlacementView.DeployedArtifact want) {
        return want.base().isEmpty() || seat.holds(want.base().get().id());
    }

    /** Returns whether a resident artifact carries adapters that are resident beside it. */
    boolean carriesAdapters(PlacementView.Engine seat, Artifact artifact) {
        return !adaptersOn(seat, artifact).isEmpty();
    }

    /** Returns the adapters on a seat that need an artifact beside them. */
    List<PlacementView.ResidentArtifact> adaptersOn(PlacementView.Engine seat, Artifact artifact) {
        return seat.resident().stream()
                .filter(held -> needs(deployed.get(held.artifact().id()), artifact))
                .toList();
    }

    /** Returns whether a resident artifact is an old version, or no longer deployed. */
    boolean obsolete(Artifact artifact) {
        PlacementView.DeployedArtifact want = deployed.get(artifact.id());
        return want == null || !want.artifact().equals(artifact);
    }

    /**
     * Plans the unloading of what is not deployed any more, and of old versions whose successor
     * serves somewhere.
     */
    void dropObsolete() {
        for (PlacementView.Engine seat : view.engines()) {
            if (!available(seat)) {
                continue;
            }
            seat.resident().stream()
                    .map(PlacementView.ResidentArtifact::artifact)
                    .filter(this::superseded)
                    .filter(artifact -> !carriesAdapters(seat, artifact))
                    .findFirst()
                    .ifPresent(artifact -> unload(seat, artifact));
        }
    }

    private void addPendingLoad(Artifact artifact) {
        pendingLoads.merge(artifact, 1, Integer::sum);
    }

    private boolean superseded(Artifact artifact) {
        if (!obsolete(artifact)) {
            return false;
        }
        PlacementView.DeployedArtifact want = deployed.get(artifact.id());
        return want == null || copies(want.artifact()) > 0;
    }

    private static boolean needs(PlacementView.DeployedArtifact want, Artifact artifact) {
        return want != null
                && want.base().isPresent()
                && want.base().get().id().equals(artifact.id());
    }
}
