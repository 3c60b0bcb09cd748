package io.stackhall.core.residency;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.Optional;

/** An action that {@link ResidencyManager} asks its caller to perform. */
public sealed interface ResidencyEffect {

    /** Send an order, unless the leader lease has expired by then. */
    record Send(EngineOrder order) implements ResidencyEffect {}

    /** Read the status report of an engine. */
    record ReadReport(UpstreamId instance, String address) implements ResidencyEffect {}

    /**
     * Notify the entry hosts that an engine has started to load a model.
     *
     * @param loadTime the expected duration of the load
     */
    record NotifyLoading(UpstreamId instance, ModelId model, Duration loadTime)
            implements ResidencyEffect {}

    /**
     * Notify the entry hosts that an engine holds a model or adapter, or is about to unload it.
     *
     * @param adapter the adapter concerned, or empty if the model itself is
     * @param resident true if it is resident, false if it is about to be unloaded
     */
    record NotifyResidency(
            UpstreamId instance, ModelId model, Optional<String> adapter, boolean resident)
            implements ResidencyEffect {}
}
