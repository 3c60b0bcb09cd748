package io.stackhall.server.group;

import io.stackhall.core.config.Change;
import io.stackhall.core.outcome.WorkCommand;

/** A command to the control group. */
public sealed interface ControlCommand {

    /** A change of the configuration. */
    record ChangeConfiguration(Change change) implements ControlCommand {}

    /** A change of the accepted work. */
    record ChangeWork(WorkCommand command) implements ControlCommand {}
}
