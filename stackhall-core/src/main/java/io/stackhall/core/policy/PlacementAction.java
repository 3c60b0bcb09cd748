package io.stackhall.core.policy;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Artifact;

/** One action that a placement policy decides on. */
public sealed interface PlacementAction {

    /** Returns the upstream that carries out the action. */
    UpstreamId upstream();

    /** Returns the artifact to load or unload. */
    Artifact artifact();

    /**
     * Load an artifact.
     *
     * @param urgent whether requests are waiting for it
     */
    record Load(UpstreamId upstream, Artifact artifact, boolean urgent)
            implements PlacementAction {}

    /** Unload an artifact. */
    record Unload(UpstreamId upstream, Artifact artifact) implements PlacementAction {}
}
