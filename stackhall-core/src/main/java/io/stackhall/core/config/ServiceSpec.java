package io.stackhall.core.config;

import io.stackhall.core.id.ServiceName;
import java.util.Objects;

/**
 * A plain service, which is an upstream other than a model engine.
 *
 * @param name name of the service in the request path
 * @param repeatable whether a request to the service may run more than once
 */
public record ServiceSpec(ServiceName name, boolean repeatable) {

    /** Validates the components. */
    public ServiceSpec {
        Objects.requireNonNull(name, "name");
    }
}
