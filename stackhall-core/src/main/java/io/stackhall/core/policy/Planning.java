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
final class Planning {

    private final PlacementView view;
    private final List<Move> moves = new ArrayList<>();
    private final Set<UpstreamId> taken = new HashSet<>();
    private final Map<ModelId, PlacementView.Want> wants = new HashMap<>();
    private final Map<Artifact, Integer> copies = new HashMap<>();
    private final Map<Artifact, Integer> coming = new HashMap<>();
    private final boolean unused;
    private int loadsLeft;
    private long storeLoads;
    private final boolean calm;
    private final WeightHomes homes;
    private final Map<UpstreamId, SeatCosts> costs = new HashMap<>();

    Planning(PlacementView view) {
        this.view = view;
        this.homes = new WeightHomes(view.seats());
        this.storeLoads = view.seats().stream().filter(Planning::loadsFromStore).count();
        this.calm = view.wants().stream().allMatch(want -> want.waiting() == 0);
        this.loadsLeft = view.loadsAllowed();
        this.unused = view.wants().stream().allMatch(want -> want.lastUsed() == 0);
        view.wants().forEach(want -> wants.put(want.artifact().id(), want));
        for (PlacementView.Seat seat : view.seats()) {
            seat.held().forEach(held -> copies.merge(held.artifact(), 1, Integer::sum));
            seat.loading().ifPresent(this::comes);
        }
    }

    /** Returns whether the floors of everything deployed fit into the zone's memory together. */
    boolean everythingFits() {
        long wantedMib =
                view.wants().stream().mapToLong(want -> want.floor() * want.memoryMib()).sum();
        long capacityMib = 0;
        for (PlacementView.Seat seat : view.seats()) {
            capacityMib += seat.freeMib();
            capacityMib += seat.held().stream().mapToLong(PlacementView.Held::memoryMib).sum();
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

    List<Move> moves() {
        return List.copyOf(moves);
    }

    /** Returns whether nothing has been asked for yet. */
    boolean unused() {
        return unused;
    }

    /** Returns what it costs to use a seat, which no move of this decision changes. */
    SeatCosts costs(PlacementView.Seat seat) {
        return costs.computeIfAbsent(seat.upstream(), id -> SeatCosts.of(this, seat));
    }

    WeightHomes homes() {
        return homes;
    }

    /** Returns whether nobody waits for anything. */
    boolean calm() {
        return calm;
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
    static boolean loadsFromStore(PlacementView.Seat seat) {
        return seat.loading().filter(loading -> !nearAt(seat, loading)).isPresent();
    }

    private static boolean nearAt(PlacementView.Seat seat, Artifact artifact) {
        return seat.nearCopies().containsKey(artifact.id());
    }

    Optional<PlacementView.Want> want(ModelId model) {
        return Optional.ofNullable(wants.get(model));
    }

    /** Returns whether this decision may still order something of an upstream. */
    boolean available(PlacementView.Seat seat) {
        return !seat.busy() && !taken.contains(seat.upstream());
    }

    /** Returns whether an order that loads the artifact is open or planned. */
    boolean planned(Artifact artifact) {
        return coming.containsKey(artifact);
    }

    /** Returns how many open or planned orders load the artifact. */
    int coming(Artifact artifact) {
        return coming.getOrDefault(artifact, 0);
    }

    private void take(PlacementView.Seat seat) {
        taken.add(seat.upstream());
        homes.taken(seat);
    }

    void load(PlacementView.Seat seat, PlacementView.Want want) {
        take(seat);
        if (!nearAt(seat, want.artifact())) {
            loadsLeft--;
            storeLoads++;
        }
        comes(want.artifact());
        moves.add(new Move.Load(seat.upstream(), want.artifact(), want.waiting() > 0));
    }

    void unload(PlacementView.Seat seat, Artifact artifact) {
        take(seat);
        moves.add(new Move.Unload(seat.upstream(), artifact));
    }

    /** Plans an unload and the load that it makes room for. */
    void replace(PlacementView.Seat seat, Artifact old, PlacementView.Want want) {
        unload(seat, old);
        load(seat, want);
    }

    /** Returns whether an adapter's base is there, or none is needed. */
    boolean baseReady(PlacementView.Seat seat, PlacementView.Want want) {
        return want.base().isEmpty() || seat.holds(want.base().get().id());
    }

    /** Returns whether a resident artifact carries adapters that are resident beside it. */
    boolean carriesAdapters(PlacementView.Seat seat, Artifact artifact) {
        return !adaptersOn(seat, artifact).isEmpty();
    }

    /** Returns the adapters on a seat that need an artifact beside them. */
    List<PlacementView.Held> adaptersOn(PlacementView.Seat seat, Artifact artifact) {
        return seat.held().stream()
                .filter(held -> needs(wants.get(held.artifact().id()), artifact))
                .toList();
    }

    /** Returns whether a resident artifact is an old version, or no longer deployed. */
    boolean obsolete(Artifact artifact) {
        PlacementView.Want want = wants.get(artifact.id());
        return want == null || !want.artifact().equals(artifact);
    }

    /**
     * Plans the unloading of what is not deployed any more, and of old versions whose successor
     * serves somewhere.
     */
    void dropObsolete() {
        for (PlacementView.Seat seat : view.seats()) {
            if (!available(seat)) {
                continue;
            }
            seat.held().stream()
                    .map(PlacementView.Held::artifact)
                    .filter(this::replaced)
                    .filter(artifact -> !carriesAdapters(seat, artifact))
                    .findFirst()
                    .ifPresent(artifact -> unload(seat, artifact));
        }
    }

    private void comes(Artifact artifact) {
        coming.merge(artifact, 1, Integer::sum);
    }

    private boolean replaced(Artifact artifact) {
        if (!obsolete(artifact)) {
            return false;
        }
        PlacementView.Want want = wants.get(artifact.id());
        return want == null || copies(want.artifact()) > 0;
    }

    private static boolean needs(PlacementView.Want want, Artifact artifact) {
        return want != null
                && want.base().isPresent()
                && want.base().get().id().equals(artifact.id());
    }
}
