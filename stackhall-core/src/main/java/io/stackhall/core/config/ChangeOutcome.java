package io.stackhall.core.config;

import java.util.List;
import java.util.Objects;

/**
 * The outcome of a change.
 *
 * @param verdict whether the change was accepted
 * @param revision the revision after the change, or the one in force if it was rejected
 * @param findings the reasons why the change is invalid; empty for other verdicts
 */
public record ChangeOutcome(Verdict verdict, long revision, List<Finding> findings) {

    /** Copies the findings. */
    public ChangeOutcome {
        Objects.requireNonNull(verdict, "verdict");
        findings = List.copyOf(findings);
    }

    /** Whether a change was accepted. */
    public enum Verdict {
        /** The change is committed and takes effect. */
        ACCEPTED,
        /**
         * The change is based on a revision that is not in force, since another change came first.
         */
        REVISION_MISMATCH,
        /** The new deployment is invalid. */
        INVALID
    }
}
