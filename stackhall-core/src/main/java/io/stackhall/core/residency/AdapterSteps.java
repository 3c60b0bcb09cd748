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
 * Which adapter an engine loads next, and which one makes room for it.
 *
 * <p>Not thread-safe: one thread uses it.
 */
final class AdapterSteps {

    private final Map<AdapterKey, Long> usedAt = new HashMap<>();

    /** An adapter that is to be loaded, or to make room. */
    record Step(boolean load, AdapterKey key) {}

    /** Notes that an adapter was asked for. */
    void used(AdapterKey key, long now) {
        usedAt.put(key, now);
    }

    /**
     * Returns what comes next on an engine.
     *
     * @param spare whether free slots may be filled with adapters that nobody waits for
     */
    Optional<Step> next(EngineLedger engine, EngineSpec spec, boolean spare) {
        Optional<Step> wanted = wanted(engine, spec);
        return wanted.isPresent() || !spare ? wanted : spare(engine, spec);
    }

    private Optional<Step> wanted(EngineLedger engine, EngineSpec spec) {
        Optional<AdapterKey> next = engine.wanted().next();
        while (next.isPresent()) {
            AdapterKey key = next.get();
            Set<AdapterKey> held = engine.adapters();
            boolean possible = engine.instance().copyOf(key.model()).isPresent();
            if (!possible || held.contains(key)) {
                engine.wanted().dropNext();
                next = engine.wanted().next();
                continue;
            }
            boolean fits =
                    held.size() < spec.adapterSlots() && memoryMb(spec, key) <= engine.freeMb(spec);
            if (fits) {
                engine.wanted().dropNext();
                return Optional.of(new Step(true, key));
            }
            return leastUsed(held).map(old -> new Step(false, old));
        }
        return Optional.empty();
    }

    /**
     * Fills a free slot with an adapter that may be asked for: the one used last, or the first that
     * the engine lacks. While an engine loads a model, for some seconds, it can be given none.
     */
    private Optional<Step> spare(EngineLedger engine, EngineSpec spec) {
        Set<AdapterKey> held = engine.adapters();
        if (held.size() >= spec.adapterSlots()) {
            return Optional.empty();
        }
        AdapterKey best = null;
        for (ModelCopy copy : engine.instance().models()) {
            ModelId model = copy.model();
            for (String name : spec.model(model).map(ModelWeights::adapters).orElse(List.of())) {
                AdapterKey key = new AdapterKey(model, name);
                boolean better = best == null || lastUsed(key) > lastUsed(best);
                best = !held.contains(key) && better ? key : best;
            }
        }
        return Optional.ofNullable(best)
                .filter(key -> memoryMb(spec, key) <= engine.freeMb(spec))
                .map(key -> new Step(true, key));
    }

    private long lastUsed(AdapterKey key) {
        return usedAt.getOrDefault(key, Long.MIN_VALUE);
    }

    private static double memoryMb(EngineSpec spec, AdapterKey key) {
        return spec.model(key.model()).map(ModelWeights::adapterMb).orElse(0.0);
    }

    private Optional<AdapterKey> leastUsed(Set<AdapterKey> held) {
        return held.stream().min(Comparator.comparingLong(this::lastUsed));
    }
}
