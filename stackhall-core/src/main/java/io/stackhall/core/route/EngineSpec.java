package io.stackhall.core.route;

import io.stackhall.core.id.ModelId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the model engines of a service are like; all are alike.
 *
 * @param slots requests that an engine runs at once
 * @param cacheTokens tokens of prompts and answers that an engine's memory holds
 * @param weightsMb memory for weights and adapters together, in MB
 * @param adapterSlots adapters that an engine holds at once
 * @param loadsPerSecond loads that the weight store allows over all engines
 * @param hostCopiesMb memory for copies of weights beside the accelerators, in MB
 * @param diskCopiesMb disk for copies of weights, in MB
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

    /** Copies the models in their order. */
    public EngineSpec {
        models = new LinkedHashMap<>(models);
    }

    /** Returns the models by name, from a list. */
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
