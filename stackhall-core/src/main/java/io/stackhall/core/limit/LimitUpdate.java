package io.stackhall.core.limit;

import io.stackhall.core.id.UpstreamId;
import java.util.Objects;
import java.util.OptionalDouble;

/**
 * What the keeper says of one upstream's limit.
 *
 * @param upstream one life of it; a later one has no limit until it names one
 * @param perSecond the requests that it takes in a second from all hosts together, or nothing where
 *     it has no limit any more
 * @param ending whether the upstream itself names no limit any more, and the one here only spares
 *     it the return of all at once
 * @param revision orders the words of one upstream
 */
public record LimitUpdate(
        UpstreamId upstream, OptionalDouble perSecond, boolean ending, LimitRevision revision) {

    /** Checks the figure. */
    public LimitUpdate {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(revision, "revision");
        if (perSecond.isPresent() && !(perSecond.getAsDouble() >= 0)) {
            throw new IllegalArgumentException("perSecond is " + perSecond.getAsDouble());
        }
    }

    /** Returns the word of an upstream of which nothing was said. */
    static LimitUpdate none(UpstreamId upstream) {
        return new LimitUpdate(upstream, OptionalDouble.empty(), false, LimitRevision.none());
    }

    /** Returns a limit as logs tell it. */
    public static String text(OptionalDouble perSecond) {
        return perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : "none";
    }

    /** Returns the word as logs tell it. */
    public String fields() {
        return "id=%s perSecond=%s ending=%s term=%d count=%d"
                .formatted(upstream, text(perSecond), ending, revision.term(), revision.sequence());
    }

    /** Returns whether there is a limit. */
    public boolean limited() {
        return perSecond.isPresent();
    }

    /** Returns whether the upstream itself named just this. */
    boolean matches(OptionalDouble named) {
        return named.isPresent() ? !ending && named.equals(perSecond) : ending || !limited();
    }

    /** Returns whether a figure allows less than this. */
    boolean isTightenedBy(OptionalDouble named) {
        return named.isPresent()
                && named.getAsDouble() < perSecond.orElse(Double.POSITIVE_INFINITY);
    }
}
