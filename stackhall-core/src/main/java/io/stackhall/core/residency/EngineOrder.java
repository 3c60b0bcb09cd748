package io.stackhall.core.residency;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import java.util.Optional;

/**
 * One order to an engine.
 *
 * @param instance who is to carry it out
 * @param address where it is sent, ip:port
 * @param load whether to load rather than to unload
 * @param model the model concerned
 * @param adapter the adapter of that model, if the order concerns one alone
 * @param expectedTaken how many orders the engine must have taken before; otherwise it refuses
 * @param fromStore whether the load takes weights of a model from the weight store
 */
public record EngineOrder(
        UpstreamId instance,
        String address,
        boolean load,
        ModelId model,
        Optional<String> adapter,
        long expectedTaken,
        boolean fromStore) {}
