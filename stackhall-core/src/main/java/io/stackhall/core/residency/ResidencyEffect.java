package io.stackhall.core.residency;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;

/** What the keeper asks its driver to do. */
public sealed interface ResidencyEffect {

    /** Send an order, unless the lease has ended by then. */
    record Send(EngineOrder order) implements ResidencyEffect {}

    /** Read an engine's account of itself. */
    record ReadReport(UpstreamId instance, String address) implements ResidencyEffect {}

    /** Tell the entry hosts that an adapter is resident. */
    record AdapterReady(UpstreamId instance, ModelId model, String adapter)
            implements ResidencyEffect {}
}
