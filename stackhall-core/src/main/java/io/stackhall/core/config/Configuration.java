package io.stackhall.core.config;

import io.stackhall.core.id.UpstreamId;
import java.util.Collections;
import java.util.Comparator;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * The configuration in force at a revision.
 *
 * @param revision number of accepted changes, 0 initially
 * @param deployment the deployment that operators have set
 * @param draining the upstreams that operators are draining
 */
public record Configuration(long revision, Deployment deployment, Set<UpstreamId> draining) {

    /** Copies the set, sorted by upstream name. */
    public Configuration {
        Objects.requireNonNull(deployment, "deployment");
        Set<UpstreamId> ordered = new TreeSet<>(Comparator.comparing(UpstreamId::value));
        ordered.addAll(draining);
        draining = Collections.unmodifiableSet(ordered);
    }

    /** Returns the configuration before the first change. */
    public static Configuration initial() {
        return new Configuration(0, Deployment.empty(), Set.of());
    }
}
