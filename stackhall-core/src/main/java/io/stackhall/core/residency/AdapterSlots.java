package io.stackhall.core.residency;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which adapters occupy the adapter slots of one engine.
 *
 * <p>An adapter that was ordered, or that the engine's status report lists, occupies its slot until
 * a later order unloads it or its model, or until the engine refuses the order. Heartbeats never
 * free a slot: one that does not list the adapter may have been created before the adapter was
 * loaded, even if its sequence number is far above that of the last heartbeat received, as after a
 * network partition.
 */
final class AdapterSlots {

    /**
     * The maximum time in which a loaded adapter arrives: some 20 ms, longer if the engine fetches
     * several from the store.
     */
    private static final long TRANSIT_NANOS = Duration.ofSeconds(1).toNanos();

    /** The number of adapters that may be in transit to an engine, which refuses any further. */
    private static final int MAX_IN_TRANSIT = 4;

    /** The time in which most adapters arrive. */
    private static final long USUAL_TRANSIT_NANOS = Duration.ofMillis(40).toNanos();

    private final Set<AdapterKey> occupying = new HashSet<>();
    private final Set<AdapterKey> unloaded = new HashSet<>();

    /** When adapters that no heartbeat has shown since were ordered. */
    private final Map<AdapterKey, Long> inTransit = new HashMap<>();

    /** Records an order that has been sent or carried out; no effect if it concerns a model. */
    void applyOrder(EngineOrder order, long now) {
        if (order.adapter().isEmpty()) {
            return;
        }
        AdapterKey key = new AdapterKey(order.model(), order.adapter().get());
        if (order.load()) {
            markLoaded(key, now);
        } else {
            markUnloaded(key);
        }
    }

    /** Records that the load of an adapter has been ordered. */
    private void markLoaded(AdapterKey key, long now) {
        occupying.add(key);
        unloaded.remove(key);
        inTransit.put(key, now);
    }

    /** Records that an adapter is known to be unloaded. */
    private void markUnloaded(AdapterKey key) {
        occupying.remove(key);
        unloaded.add(key);
        inTransit.remove(key);
    }

    /**
     * Records that the engine has refused the load of an adapter. A slot that stayed taken would be
     * freed by an unload, which an engine without the adapter answers as done although it has
     * counted no order.
     */
    void markRefused(EngineOrder load) {
        load.adapter()
                .map(adapter -> new AdapterKey(load.model(), adapter))
                .ifPresent(
                        key -> {
                            occupying.remove(key);
                            inTransit.remove(key);
                        });
    }

    /** Records that a model, and its adapters with it, is known to be unloaded. */
    void markUnloaded(ModelId model) {
        occupying.removeIf(key -> key.model().equals(model));
        unloaded.removeIf(key -> key.model().equals(model));
        inTransit.keySet().removeIf(key -> key.model().equals(model));
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
        inTransit.keySet().removeAll(shown);
    }

    /** Returns whether the engine probably accepts the load of one more adapter. */
    boolean acceptsLoad(long now) {
        long recent =
                inTransit.values().stream()
                        .filter(orderedAt -> now - orderedAt < USUAL_TRANSIT_NANOS)
                        .count();
        return recent < MAX_IN_TRANSIT;
    }

    /**
     * Returns the adapters that may be unloaded. Those that may still be in transit are not among
     * them: the engine answers as if they were unloaded, and they arrive.
     */
    Set<AdapterKey> removable(Instance report, long now) {
        Set<AdapterKey> removable = occupied(report);
        inTransit.forEach(
                (key, orderedAt) -> {
                    if (now - orderedAt < TRANSIT_NANOS) {
                        removable.remove(key);
                    }
                });
        return removable;
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
