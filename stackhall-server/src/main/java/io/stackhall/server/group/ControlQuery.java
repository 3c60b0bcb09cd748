package io.stackhall.server.group;

import io.stackhall.core.id.WorkId;

/** A question to the leader of the control group. */
public sealed interface ControlQuery {

    /** Asks for a piece of work; the answer is an optional {@code WorkItem}. */
    record FindWork(WorkId id) implements ControlQuery {}

    /** Asks for the audit trail; the answer is a {@code ControlState.AuditTrail}. */
    record ReadAudit() implements ControlQuery {}
}
