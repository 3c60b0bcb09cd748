package io.stackhall.server.callers;

import io.stackhall.core.outcome.WorkCommand;
import io.stackhall.core.outcome.WorkResult;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.group.ControlCommand;
import io.stackhall.server.group.ControlResult;
import io.stackhall.server.group.GroupClient;
import io.stackhall.server.json.Json;
import io.stackhall.server.settings.Settings;
import java.time.Duration;

/** Sends commands about deferred work to the control group. */
final class WorkClient {

    private final GroupClient groups;

    WorkClient(GroupClient groups) {
        this.groups = groups;
    }

    /** Sends a command; the outcome holds the encoded result. */
    CommandOutcome send(WorkCommand command, Duration timeout) {
        byte[] bytes = Json.write(ControlCommand.class, new ControlCommand.ChangeWork(command));
        return groups.command(Settings.CONTROL_GROUP, bytes, timeout);
    }

    /** Decodes the result of a command. */
    static WorkResult decode(byte[] bytes) {
        return switch (Json.read(ControlResult.class, bytes)) {
            case ControlResult.WorkChanged(WorkResult result) -> result;
            case ControlResult.ConfigurationChanged ignored ->
                    throw new IllegalStateException("work command returned ConfigurationChanged");
        };
    }
}
