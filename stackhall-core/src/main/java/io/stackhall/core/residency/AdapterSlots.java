package io.stackhall.core.residency;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Which adapters take slots of one engine.
 *
 * <p>An adapter that was ordered, or that the engine's own account showed, takes its slot until it
 * or its model is unloaded by a later order. Heartbeats only add to that: one that does not show it
 * may have been made before, also where it is newer by many numbers than the last one that came
 * through. A cut that had just healed broke the bound of slots otherwise, once in 12 days.
 */
final class AdapterSlots {

    private final Set<AdapterKey> occupying = new HashSet<>();
    private final Set<AdapterKey> unloaded = new HashSet<>();

    /** Notes that an adapter has been ordered. */
    void markLoaded(AdapterKey key) {
        occupying.add(key);
        unloaded.remove(key);
    }

    /** Notes that an adapter is unloaded for certain. */
    void markUnloaded(AdapterKey key) {
        occupying.remove(key);
        unloaded.add(key);
    }

    /** Notes that a model is unloaded for certain, and its adapters with it. */
    void markUnloaded(ModelId model) {
        occupying.removeIf(key -> key.model().equals(model));
        unloaded.removeIf(key -> key.model().equals(model));
    }

    /** Takes in the engine's own account. */
    void addReported(List<ModelCopy> reported) {
        reported.forEach(copy -> addAll(copy, occupying));
        occupying.removeAll(unloaded);
    }

    /** Takes in a heartbeat: one that no longer shows an unloaded adapter needs no correction. */
    void onHeartbeat(Instance report) {
        Set<AdapterKey> shown = adaptersOf(report);
        unloaded.removeIf(key -> !shown.contains(key));
    }

    /** Returns the adapters that are resident or may be. */
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
