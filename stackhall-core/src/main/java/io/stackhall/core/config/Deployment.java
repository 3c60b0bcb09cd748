package io.stackhall.core.config;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The part of the configuration that operators define: models, adapters and services, the API keys
 * that may use them, the placement policy and the limits of the weight store.
 *
 * @see DeploymentChecker
 */
public record Deployment(
        List<ModelSpec> models,
        List<AdapterSpec> adapters,
        List<ServiceSpec> services,
        List<CallerSpec> callers,
        PolicySpec policy,
        WeightStoreSpec weightStore) {

    /** Copies the lists. */
    public Deployment {
        models = List.copyOf(models);
        adapters = List.copyOf(adapters);
        services = List.copyOf(services);
        callers = List.copyOf(callers);
        Objects.requireNonNull(policy, "policy");
        Objects.requireNonNull(weightStore, "weightStore");
    }

    /** Returns the initial deployment, which serves nothing. */
    public static Deployment empty() {
        return new Deployment(
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                new PolicySpec(PolicyName.EXPECTED_GAIN, Optional.empty()),
                new WeightStoreSpec(1, 1));
    }

    /** Returns the model with the given name, if there is one. */
    public Optional<ModelSpec> model(ModelId id) {
        return models.stream().filter(model -> model.id().equals(id)).findFirst();
    }

    /** Returns the adapter with the given name, if there is one. */
    public Optional<AdapterSpec> adapter(ModelId id) {
        return adapters.stream().filter(adapter -> adapter.id().equals(id)).findFirst();
    }

    /** Returns the service with the given name, if there is one. */
    public Optional<ServiceSpec> service(ServiceName name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }
}
