package io.stackhall.core.residency;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks which adapters occupy the adapter slots of one engine.
 *
 * <p>An adapter that was ordered, or that the engine's status report lists, occupies its slot until
 * a later order unloads it or its model. Heartbeats never free a slot: one that does not list the
 * adapter may have been created before the adapter was loaded, even if its sequence number is far
 * above that of the last heartbeat received. Freeing slots by heartbeat let the slot limit be
 * exceeded once in 12 days, just after a network partition had healed.
 */
final class AdapterSlots {

    private final Set<AdapterKey> occupying = new HashSet<>();
    private final Set<AdapterKey> unloaded = new HashSet<>();

    /** Records an order that has been sent or carried out; no effect if it concerns a model. */
    void applyOrder(EngineOrder order) {
        if (order.adapter().isEmpty()) {
            return;
        }
        AdapterKey key = new AdapterKey(order.model(), order.adapter().get());
        if (order.load()) {
            markLoaded(key);
        } else {
            markUnloaded(key);
        }
    }

    /** Records that the load of an adapter has been ordered. */
    private void markLoaded(AdapterKey key) {
        occupying.add(key);
        unloaded.remove(key);
    }

    /** Records that an adapter is known to be unloaded. */
    private void markUnloaded(AdapterKey key) {
        occupying.remove(key);
        unloaded.add(key);
    }

    /** Records that a model, and its adapters with it, is known to be unloaded. */
    void markUnloaded(ModelId model) {
        occupying.removeIf(key -> key.model().equals(model));
        unloaded.removeIf(key -> key.model().equals(model));
    }

    /** Adds the adapters listed in the engine's status report. */
    void addReported(List<ModelCopy> reported) {
        reported.forEach(copy -> addAll(copy, occupying));
        occupying.removeAll(unloaded);
    }

    /**
     * Updates the slots from a heartbeat. Once a heartbeat no longer lists an unloaded adapter,
     * that adapter need not be subtracted from later ones.
     */
    void onHeartbeat(Instance report) {
        Set<AdapterKey> shown = adaptersOf(report);
        unloaded.removeIf(key -> !shown.contains(key));
    }

    /** Returns the adapters that are, or may be, resident. */
    Set<AdapterKey> occupied(Instance report) {
        Set<AdapterKey> all = adaptersOf(report);
        all.removeAll(unloaded);
        all.addAll(occupying);
        return all;
    }

    private static Set<AdapterKey> adaptersOf(Instance report) {
        Set<AdapterKey> shown = new HashSet<>();
        report.models().forEach(copy -> addAll(copy, shown));
        return shown;
    }

    private static void addAll(ModelCopy copy, Set<AdapterKey> to) {
        copy.adapters().forEach(adapter -> to.add(new AdapterKey(copy.model(), adapter)));
    }
}
