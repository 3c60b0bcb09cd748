package io.stackhall.core.config;

import io.stackhall.core.id.ChangeId;
import java.util.Objects;

/**
 * A record of the audit trail, written for each requested change.
 *
 * @param sequence number of the requested change, counted from 1
 * @param timeMillis wall-clock time of the host that received the change, in Unix milliseconds
 * @param operator the operator who requested the change
 * @param changeId the change
 * @param change short description of the change
 * @param fromRevision the revision before the change
 * @param revision the revision after the change
 * @param outcome whether the change was accepted
 */
public record AuditRecord(
        long sequence,
        long timeMillis,
        String operator,
        ChangeId changeId,
        String change,
        long fromRevision,
        long revision,
        ChangeOutcome.Verdict outcome) {

    /** Validates the components. */
    public AuditRecord {
        Objects.requireNonNull(operator, "operator");
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(outcome, "outcome");
    }
}
