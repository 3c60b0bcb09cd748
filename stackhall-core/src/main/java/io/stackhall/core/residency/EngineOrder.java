package io.stackhall.core.residency;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import java.util.Optional;

/**
 * An order to an engine to load or unload a model or adapter.
 *
 * @param instance the engine that carries out the order
 * @param address the address of the engine, as ip:port
 * @param load true to load, false to unload
 * @param model the model concerned
 * @param adapter the adapter, if the order concerns an adapter rather than the model
 * @param expectedTaken the number of orders that the engine must have taken before this one; it
 *     refuses the order otherwise
 * @param fromStore whether the load reads model weights from the weight store
 */
public record EngineOrder(
        UpstreamId instance,
        String address,
        boolean load,
        ModelId model,
        Optional<String> adapter,
        long expectedTaken,
        boolean fromStore) {}
