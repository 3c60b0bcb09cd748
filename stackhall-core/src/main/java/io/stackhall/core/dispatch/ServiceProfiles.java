package io.stackhall.core.dispatch;

import io.stackhall.core.id.ServiceName;
import io.stackhall.core.route.EngineSpec;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** What one host knows of each service, from the routes and from answers. */
final class ServiceProfiles {

    /**
     * Used where no route names an objective any more; two of three deployments measured have this
     * one.
     */
    private static final Duration DEFAULT_OBJECTIVE = Duration.ofMillis(800);

    private Map<ServiceName, EngineSpec> engines = Map.of();
    private Map<ServiceName, Duration> objectives = Map.of();
    private Map<ServiceName, Double> coldRequestsPerSecond = Map.of();
    private final Map<ServiceName, PrefillRate> prefillRates = new HashMap<>();

    void setEngines(Map<ServiceName, EngineSpec> next) {
        engines = Map.copyOf(next);
    }

    void setObjectives(Map<ServiceName, Duration> next) {
        objectives = Map.copyOf(next);
    }

    void setColdRequestsPerSecond(Map<ServiceName, Double> next) {
        coldRequestsPerSecond = Map.copyOf(next);
    }

    /** Returns the engine specification of a service, or empty if it runs no models. */
    Optional<EngineSpec> engine(ServiceName service) {
        return Optional.ofNullable(engines.get(service));
    }

    /** Returns the shortest latency objective of the routes that lead to a service. */
    Duration objective(ServiceName service) {
        return objectives.getOrDefault(service, DEFAULT_OBJECTIVE);
    }

    /**
     * Returns how many requests per second a cold instance of a service handles, or 0 if there is
     * no limit.
     */
    double coldRequestsPerSecond(ServiceName service) {
        return coldRequestsPerSecond.getOrDefault(service, 0.0);
    }

    /** Returns the rate at which the engines of a service process prompts. */
    PrefillRate prefillRate(ServiceName service) {
        return prefillRates.computeIfAbsent(service, name -> new PrefillRate());
    }
}
