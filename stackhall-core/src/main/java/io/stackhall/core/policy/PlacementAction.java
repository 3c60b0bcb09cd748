package io.stackhall.core.policy;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Artifact;

/** One step that a policy wants. */
public sealed interface PlacementAction {

    /** Returns the upstream concerned. */
    UpstreamId upstream();

    /** Returns the artifact concerned. */
    Artifact artifact();

    /**
     * Load an artifact.
     *
     * @param urgent whether requests wait for it
     */
    record Load(UpstreamId upstream, Artifact artifact, boolean urgent)
            implements PlacementAction {}

    /** Unload an artifact. */
    record Unload(UpstreamId upstream, Artifact artifact) implements PlacementAction {}
}
