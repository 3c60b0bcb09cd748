package io.stackhall.core.config;

import io.stackhall.core.id.ChangeId;
import io.stackhall.core.id.UpstreamId;
import java.util.Objects;

/**
 * A change of the configuration that an operator requests.
 *
 * @param id identifies the change; a resend has the same id
 * @param operator the operator who requests it
 * @param timeMillis wall-clock time of the host that received it, in Unix milliseconds, for the
 *     audit trail only
 * @param body the change itself
 */
public record Change(ChangeId id, String operator, long timeMillis, Body body) {

    /** Validates the components. */
    public Change {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(operator, "operator");
        Objects.requireNonNull(body, "body");
    }

    /** Content of a change. */
    public sealed interface Body {}

    /**
     * Replaces the whole deployment.
     *
     * @param deployment the new deployment
     * @param expectedRevision the revision that it is based on; the change is rejected if another
     *     revision is in force
     */
    public record ReplaceDeployment(Deployment deployment, long expectedRevision) implements Body {}

    /**
     * Starts or stops draining an upstream. These changes commute, so no expected revision is
     * needed.
     *
     * @param upstream the upstream
     * @param draining whether it should be drained
     */
    public record SetDrain(UpstreamId upstream, boolean draining) implements Body {}
}
