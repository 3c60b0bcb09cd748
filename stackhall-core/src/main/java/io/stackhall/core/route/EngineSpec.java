package io.stackhall.core.route;

import io.stackhall.core.id.ModelId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The properties of a service's model engines, which are all alike.
 *
 * @param slots requests that an engine runs at once
 * @param cacheTokens tokens of prompts and answers that fit into an engine's memory
 * @param weightsMb memory for weights and adapters together, in MB
 * @param adapterSlots adapters that an engine holds at once
 * @param loadsPerSecond loads that the weight store allows over all engines
 * @param hostCopiesMb host memory for copies of weights, in MB
 * @param diskCopiesMb disk space for copies of weights, in MB
 * @param models the models, by name
 */
public record EngineSpec(
        int slots,
        long cacheTokens,
        double weightsMb,
        int adapterSlots,
        double loadsPerSecond,
        double hostCopiesMb,
        double diskCopiesMb,
        Map<ModelId, ModelWeights> models) {

    /** Copies the models and keeps their order. */
    public EngineSpec {
        models = new LinkedHashMap<>(models);
    }

    /** Indexes models by name. */
    public static Map<ModelId, ModelWeights> byName(List<ModelWeights> models) {
        Map<ModelId, ModelWeights> named = new LinkedHashMap<>();
        models.forEach(model -> named.put(model.model(), model));
        return named;
    }

    /** Returns a model by name. */
    public Optional<ModelWeights> model(ModelId name) {
        return Optional.ofNullable(models.get(name));
    }
}
