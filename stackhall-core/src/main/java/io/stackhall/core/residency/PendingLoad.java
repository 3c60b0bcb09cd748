package io.stackhall.core.residency;

import io.stackhall.core.id.ModelId;
import java.time.Duration;
import java.util.Optional;

/** The model that one engine loads as soon as an unload has made room for it. */
final class PendingLoad {

    /**
     * An unload waits for the running requests of its model. After this time, the load that it
     * makes room for may be outdated.
     */
    private static final long MAX_UNLOAD_NANOS = Duration.ofSeconds(5).toNanos();

    private ModelId model;
    private long since;

    void set(ModelId next, long now) {
        model = next;
        since = now;
    }

    Optional<ModelId> model() {
        return Optional.ofNullable(model);
    }

    /** Returns and clears the model; empty if the unload took too long. */
    Optional<ModelId> poll(long now) {
        Optional<ModelId> next = model();
        model = null;
        return now - since > MAX_UNLOAD_NANOS ? Optional.empty() : next;
    }
}
