package io.stackhall.core.limit;

import io.stackhall.core.id.UpstreamId;
import java.util.Objects;
import java.util.OptionalDouble;

/**
 * The current limit of one upstream, as decided by the leading {@link LimitManager}.
 *
 * @param upstream one incarnation; a later one has no limit until it announces one
 * @param perSecond the requests per second that it accepts from all hosts together, or empty if it
 *     has no limit any more
 * @param ending whether the upstream itself announces no limit any more, and this one only keeps
 *     requests from returning all at once
 * @param revision orders the updates of one upstream
 */
public record LimitUpdate(
        UpstreamId upstream, OptionalDouble perSecond, boolean ending, LimitRevision revision) {

    /** Validates the components. */
    public LimitUpdate {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(revision, "revision");
        if (perSecond.isPresent() && !(perSecond.getAsDouble() >= 0)) {
            throw new IllegalArgumentException("perSecond is " + perSecond.getAsDouble());
        }
    }

    /** Returns the initial update of an upstream, without a limit. */
    static LimitUpdate none(UpstreamId upstream) {
        return new LimitUpdate(upstream, OptionalDouble.empty(), false, LimitRevision.none());
    }

    /** Returns a limit as written to the log. */
    public static String text(OptionalDouble perSecond) {
        return perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : "none";
    }

    /** Returns the update as fields of a log line. */
    public String fields() {
        return "id=%s perSecond=%s ending=%s term=%d count=%d"
                .formatted(upstream, text(perSecond), ending, revision.term(), revision.sequence());
    }

    /** Returns whether the upstream has a limit. */
    public boolean limited() {
        return perSecond.isPresent();
    }

    /** Returns whether this update already reflects what the upstream announces. */
    boolean matches(OptionalDouble named) {
        return named.isPresent() ? !ending && named.equals(perSecond) : ending || !limited();
    }

    /** Returns whether an announced limit is lower than this one. */
    boolean isTightenedBy(OptionalDouble named) {
        return named.isPresent()
                && named.getAsDouble() < perSecond.orElse(Double.POSITIVE_INFINITY);
    }
}
