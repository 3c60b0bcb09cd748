package io.stackhall.core.placement;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Artifact;
import java.util.Objects;

/**
 * An order to an upstream, as recorded in the ledger before it is sent.
 *
 * @param number the fencing number, higher than that of every earlier order of the zone
 * @param upstream the upstream that carries out the order
 * @param incarnation the incarnation of the upstream that the order is intended for
 * @param kind the kind of order
 * @param artifact the artifact to load or unload
 * @param memoryMib the memory that the artifact occupies, in MiB
 */
public record Order(
        long number,
        UpstreamId upstream,
        long incarnation,
        Kind kind,
        Artifact artifact,
        long memoryMib) {

    /** Checks the components. */
    public Order {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(artifact, "artifact");
    }

    /** The kind of an order. */
    public enum Kind {
        /** Load an artifact. */
        LOAD,
        /** Unload an artifact. */
        UNLOAD
    }
}
