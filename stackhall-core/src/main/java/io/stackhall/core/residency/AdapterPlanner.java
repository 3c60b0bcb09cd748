package io.stackhall.core.residency;

import io.stackhall.core.fleet.ModelCopy;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.ModelWeights;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the adapter that an engine loads next, and the one to unload to free a slot for it.
 *
 * <p>Not thread-safe.
 */
final class AdapterPlanner {

    private final Map<AdapterKey, Long> lastUsedAt = new HashMap<>();

    /** An adapter to load, or to unload in order to free a slot. */
    record Change(boolean load, AdapterKey key) {}

    /** Records that a request asked for an adapter. */
    void recordUse(AdapterKey key, long now) {
        lastUsedAt.put(key, now);
    }

    /**
     * Returns the next adapter change of an engine, or empty if there is none.
     *
     * @param fillFreeSlots whether free slots may be filled with adapters that no request waits for
     */
    Optional<Change> nextChange(
            EngineTracker engine, EngineSpec spec, boolean fillFreeSlots, long now) {
        if (!engine.slots().acceptsLoad(now)) {
            return Optional.empty();
        }
        Optional<Change> requested = nextRequested(engine, spec, now);
        return requested.isPresent() || !fillFreeSlots ? requested : fillFreeSlot(engine, spec);
    }

    private Optional<Change> nextRequested(EngineTracker engine, EngineSpec spec, long now) {
        Optional<AdapterKey> next = engine.adapterQueue().peek();
        while (next.isPresent()) {
            AdapterKey key = next.get();
            Set<AdapterKey> occupied = engine.adapters();
            boolean possible = engine.instance().copyOf(key.model()).isPresent();
            if (!possible || occupied.contains(key)) {
                engine.adapterQueue().removeFirst();
                next = engine.adapterQueue().peek();
                continue;
            }
            boolean fits =
                    occupied.size() < spec.adapterSlots()
                            && memoryMb(spec, key) <= engine.freeMb(spec);
            if (fits) {
                engine.adapterQueue().removeFirst();
                return Optional.of(new Change(true, key));
            }
            return leastRecentlyUsed(engine.slots().removable(engine.instance(), now))
                    .map(old -> new Change(false, old));
        }
        return Optional.empty();
    }

    /**
     * Fills a free slot ahead of demand with the most recently used adapter that the engine lacks,
     * or the first one if none has been used. Loading ahead matters because an engine accepts no
     * adapter order for the seconds in which it loads a model.
     */
    private Optional<Change> fillFreeSlot(EngineTracker engine, EngineSpec spec) {
        Set<AdapterKey> occupied = engine.adapters();
        if (occupied.size() >= spec.adapterSlots()) {
            return Optional.empty();
        }
        AdapterKey best = null;
        for (ModelCopy copy : engine.instance().models()) {
            ModelId model = copy.model();
            for (String name : spec.model(model).map(ModelWeights::adapters).orElse(List.of())) {
                AdapterKey key = new AdapterKey(model, name);
                boolean better = best == null || lastUsed(key) > lastUsed(best);
                best = !occupied.contains(key) && better ? key : best;
            }
        }
        return Optional.ofNullable(best)
                .filter(key -> memoryMb(spec, key) <= engine.freeMb(spec))
                .map(key -> new Change(true, key));
    }

    private long lastUsed(AdapterKey key) {
        return lastUsedAt.getOrDefault(key, Long.MIN_VALUE);
    }

    private static double memoryMb(EngineSpec spec, AdapterKey key) {
        return spec.model(key.model()).map(ModelWeights::adapterMb).orElse(0.0);
    }

    private Optional<AdapterKey> leastRecentlyUsed(Set<AdapterKey> occupied) {
        return occupied.stream().min(Comparator.comparingLong(this::lastUsed));
    }
}
