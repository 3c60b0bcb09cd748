package io.stackhall.server.group;

import io.stackhall.core.config.ChangeOutcome;
import io.stackhall.core.outcome.WorkResult;

/** The result of a {@link ControlCommand}. */
public sealed interface ControlResult {

    /** The outcome of a change of the configuration. */
    record ConfigurationChanged(ChangeOutcome outcome) implements ControlResult {}

    /** The outcome of a change of the accepted work. */
    record WorkChanged(WorkResult result) implements ControlResult {}
}
