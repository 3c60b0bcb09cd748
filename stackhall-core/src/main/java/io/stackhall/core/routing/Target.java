package io.stackhall.core.routing;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;

/** The model or service that a request is for. */
public sealed interface Target {

    /** A model or adapter. */
    record Model(ModelId id) implements Target {}

    /** A plain service. */
    record Service(ServiceName name) implements Target {}
}
