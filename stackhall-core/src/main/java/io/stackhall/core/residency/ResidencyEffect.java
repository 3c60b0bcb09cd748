package io.stackhall.core.residency;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.Optional;

/** What the keeper asks its driver to do. */
public sealed interface ResidencyEffect {

    /** Send an order, unless the lease has ended by then. */
    record Send(EngineOrder order) implements ResidencyEffect {}

    /** Read an engine's account of itself. */
    record ReadReport(UpstreamId instance, String address) implements ResidencyEffect {}

    /**
     * Tell the entry hosts that an engine has begun to load a model.
     *
     * @param within how long the load takes
     */
    record NotifyLoading(UpstreamId instance, ModelId model, Duration loadTime)
            implements ResidencyEffect {}

    /**
     * Tell the entry hosts what an engine holds now, or is about to hold no more.
     *
     * @param adapter the adapter concerned, or nothing where the model itself is
     * @param resident whether it is there, or about to go
     */
    record NotifyResidency(
            UpstreamId instance, ModelId model, Optional<String> adapter, boolean resident)
            implements ResidencyEffect {}
}
