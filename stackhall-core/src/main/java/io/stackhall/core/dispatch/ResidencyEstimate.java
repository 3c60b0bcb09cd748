package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What instances hold or load beyond what their last reports say, as control hosts and refusals
 * have told.
 */
final class ResidencyEstimate {

    /** A report made before something was unloaded arrives within two heartbeats. */
    private static final long UNLOAD_OVERRIDE_NANOS = Duration.ofMillis(2500).toNanos();

    /** A load that is later than this has failed. */
    private static final long LOAD_GRACE_NANOS = Duration.ofSeconds(2).toNanos();

    private final Map<UpstreamId, Map<ModelOrAdapter, ResidencyOverride>> overrides =
            new HashMap<>();
    private final Map<UpstreamId, PendingLoad> pendingLoads = new HashMap<>();

    /** A model, or an adapter of it, that an instance may hold. */
    private record ModelOrAdapter(ModelId model, Optional<String> adapter) {}

    /** What was said of a holding, and when. */
    private record ResidencyOverride(boolean resident, long at) {}

    /** A load that is under way, and when it should be done. */
    private record PendingLoad(ModelId model, long dueAt) {}

    /** Forgets an instance that is gone. */
    void forget(UpstreamId id) {
        overrides.remove(id);
        pendingLoads.remove(id);
    }

    /**
     * Takes in a report. What was said of a model is over once the reports show that it came or
     * went. A model that was loaded again within 2.5 s of its unload was passed over until then: on
     * one day of load an engine was ordered to load and unload two models 22 times in 18 s, while
     * the requests that waited for them were refused (counted in the log).
     *
     * @param before the report before, or null where there was none
     */
    void update(Instance before, Instance after) {
        PendingLoad load = pendingLoads.get(after.id());
        if (load != null && after.copyOf(load.model()).isPresent()) {
            pendingLoads.remove(after.id());
        }
        Map<ModelOrAdapter, ResidencyOverride> here = overrides.get(after.id());
        if (before == null || here == null) {
            return;
        }
        here.keySet()
                .removeIf(
                        holding ->
                                before.copyOf(holding.model()).isPresent()
                                        != after.copyOf(holding.model()).isPresent());
    }

    /** Notes what an instance holds now, or is about to hold no more. */
    void override(
            UpstreamId id, ModelId model, Optional<String> adapter, boolean resident, long now) {
        overrides
                .computeIfAbsent(id, key -> new HashMap<>())
                .put(new ModelOrAdapter(model, adapter), new ResidencyOverride(resident, now));
    }

    /** Notes that an instance has begun to load a model. */
    void loadStarted(UpstreamId id, ModelId model, Duration within, long now) {
        pendingLoads.put(id, new PendingLoad(model, now + within.toNanos()));
    }

    /** Returns how much longer an instance loads a model, or the largest number if it does not. */
    long remainingLoadNanos(UpstreamId id, ModelId model, long now) {
        PendingLoad load = pendingLoads.get(id);
        boolean comes =
                load != null && load.model().equals(model) && now - load.dueAt() < LOAD_GRACE_NANOS;
        return comes ? Math.max(0, load.dueAt() - now) : Long.MAX_VALUE;
    }

    /** What was said lately counts before what the instance reported, which may be older. */
    boolean holds(
            Instance instance,
            ModelId model,
            Optional<String> adapter,
            boolean reported,
            long now) {
        Map<ModelOrAdapter, ResidencyOverride> here =
                overrides.getOrDefault(instance.id(), Map.of());
        ResidencyOverride last = here.get(new ModelOrAdapter(model, adapter));
        if (last == null) {
            return reported;
        }
        if (!last.resident() && now - last.at() > UNLOAD_OVERRIDE_NANOS) {
            return reported;
        }
        return last.resident();
    }
}
