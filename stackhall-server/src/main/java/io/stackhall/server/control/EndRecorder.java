package io.stackhall.server.control;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.server.group.CommandOutcome;
import java.time.Duration;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Has the control group commit which upstreams have announced their end. An upstream that is told
 * that its end is recorded never announces it again, so that no restart and no lost disk may make
 * the control hosts forget it: hosts that were out of touch would send it requests again.
 */
final class EndRecorder {

    private static final Logger logger = LogManager.getLogger(EndRecorder.class);

    /** Upstreams call another host after one second without an answer. */
    private static final Duration COMMIT_TIMEOUT = Duration.ofMillis(850);

    private final ControlGroup group;
    private final ControlStateMachine stateMachine;

    EndRecorder(ControlGroup group, ControlStateMachine stateMachine) {
        this.group = group;
        this.stateMachine = stateMachine;
    }

    /**
     * Records the end of an incarnation. A repeated call changes nothing.
     *
     * @param onOutcome called with the outcome of the commit, possibly on another thread
     */
    void record(UpstreamId id, Consumer<CommandOutcome> onOutcome) {
        if (stateMachine.state().getEndedList().contains(id.toString())) {
            onOutcome.accept(new CommandOutcome.Done(new byte[0]));
            return;
        }
        byte[] command = ControlStateMachine.endCommand(id);
        Thread.startVirtualThread(
                () -> {
                    CommandOutcome outcome = group.command(command, COMMIT_TIMEOUT);
                    logger.info(
                            "upstream.end-recorded id={} outcome={}", id, outcome.description());
                    onOutcome.accept(outcome);
                });
    }
}
