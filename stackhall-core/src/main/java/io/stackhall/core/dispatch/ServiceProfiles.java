package io.stackhall.core.dispatch;

import io.stackhall.core.id.ServiceName;
import io.stackhall.core.route.EngineSpec;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** What one host knows of each service, from the routes and from answers. */
final class ServiceProfiles {

    /** Where the routes tell none any more: that of two of three deployments measured. */
    private static final Duration DEFAULT_OBJECTIVE = Duration.ofMillis(800);

    private Map<ServiceName, EngineSpec> engines = Map.of();
    private Map<ServiceName, Duration> objectives = Map.of();
    private Map<ServiceName, Double> coldRequestsPerSecond = Map.of();
    private final Map<ServiceName, PrefillRate> prefillRates = new HashMap<>();

    void engines(Map<ServiceName, EngineSpec> next) {
        engines = Map.copyOf(next);
    }

    void objectives(Map<ServiceName, Duration> next) {
        objectives = Map.copyOf(next);
    }

    void coldRequestsPerSecond(Map<ServiceName, Double> next) {
        coldRequestsPerSecond = Map.copyOf(next);
    }

    /** Returns what a service's engines are like; nothing where it runs no models. */
    Optional<EngineSpec> engine(ServiceName service) {
        return Optional.ofNullable(engines.get(service));
    }

    /** Returns the shortest objective of those who ask a service. */
    Duration objective(ServiceName service) {
        return objectives.getOrDefault(service, DEFAULT_OBJECTIVE);
    }

    /** Returns how many requests a second a service's instance bears while it is cold, or 0. */
    double coldRequestsPerSecond(ServiceName service) {
        return coldRequestsPerSecond.getOrDefault(service, 0.0);
    }

    /** Returns how fast a service's engines read prompts. */
    PrefillRate prefillRate(ServiceName service) {
        return prefillRates.computeIfAbsent(service, name -> new PrefillRate());
    }
}
