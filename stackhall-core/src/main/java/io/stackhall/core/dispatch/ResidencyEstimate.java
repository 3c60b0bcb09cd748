package io.stackhall.core.dispatch;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The models and adapters that instances hold or load beyond their last reports, known from notices
 * of control hosts and from rejected requests.
 */
final class ResidencyEstimate {

    /**
     * Validity of the information that something was unloaded: a report from before the unload
     * arrives within two heartbeats.
     */
    private static final long UNLOAD_OVERRIDE_NANOS = Duration.ofMillis(2500).toNanos();

    /** A load that is overdue by this much has failed. */
    private static final long LOAD_GRACE_NANOS = Duration.ofSeconds(2).toNanos();

    private final Map<UpstreamId, Map<ModelOrAdapter, ResidencyOverride>> overrides =
            new HashMap<>();
    private final Map<UpstreamId, PendingLoad> pendingLoads = new HashMap<>();

    /** A model, or one of its adapters, that an instance may hold. */
    private record ModelOrAdapter(ModelId model, Optional<String> adapter) {}

    /** Whether an instance holds something according to a notice, and when it was received. */
    private record ResidencyOverride(boolean resident, long at) {}

    /** A load in progress, and when it should be complete. */
    private record PendingLoad(ModelId model, long dueAt) {}

    /** Forgets an instance that is gone. */
    void forget(UpstreamId id) {
        overrides.remove(id);
        pendingLoads.remove(id);
    }

    /**
     * Updates the estimate after a report of an instance. Once reports show that a model has been
     * loaded or unloaded, earlier notices about it are dropped. Otherwise a model that was loaded
     * again within 2.5 s of its unload would be ignored until then: on one day of load an engine
     * was ordered to load and unload two models 22 times in 18 s, while the requests that waited
     * for them were refused (counted in the log).
     *
     * @param before the previous report, or null if there was none
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
                        entry ->
                                before.copyOf(entry.model()).isPresent()
                                        != after.copyOf(entry.model()).isPresent());
    }

    /** Records that an instance has loaded, or is about to unload, a model or an adapter. */
    void override(
            UpstreamId id, ModelId model, Optional<String> adapter, boolean resident, long now) {
        overrides
                .computeIfAbsent(id, key -> new HashMap<>())
                .put(new ModelOrAdapter(model, adapter), new ResidencyOverride(resident, now));
    }

    /** Records that an instance has started to load a model. */
    void loadStarted(UpstreamId id, ModelId model, Duration within, long now) {
        pendingLoads.put(id, new PendingLoad(model, now + within.toNanos()));
    }

    /**
     * Returns the remaining time of a load in nanoseconds, or {@link Long#MAX_VALUE} if the
     * instance does not load the model.
     */
    long remainingLoadNanos(UpstreamId id, ModelId model, long now) {
        PendingLoad load = pendingLoads.get(id);
        boolean inProgress =
                load != null && load.model().equals(model) && now - load.dueAt() < LOAD_GRACE_NANOS;
        return inProgress ? Math.max(0, load.dueAt() - now) : Long.MAX_VALUE;
    }

    /**
     * Returns whether an instance holds a model or an adapter. Recent notices take precedence over
     * the last report of the instance, which may be older.
     */
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
