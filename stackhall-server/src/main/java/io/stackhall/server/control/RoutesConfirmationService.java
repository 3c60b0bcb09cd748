package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.peer.Replier;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Has the quorum confirm for entry hosts which configuration is the newest. What is asked while one
 * question is under way waits for the next, so that the quorum answers few questions however many
 * hosts ask. Used on one event loop.
 */
final class RoutesConfirmationService {

    private static final Logger logger = LogManager.getLogger(RoutesConfirmationService.class);

    private static final Duration TIMEOUT = Duration.ofMillis(900);

    private final EventLoop loop;
    private final ControlGroup group;
    private final LongSupplier heldVersion;
    private final Listener listener;
    private List<ConfirmationRequest> waiting = new ArrayList<>();
    private boolean queryInProgress;

    /** An entry host that requests, and the way back to it. */
    record ConfirmationRequest(FleetFollow follow, Replier replier) {}

    /** Hears what was confirmed. */
    @FunctionalInterface
    interface Listener {
        /** The state is the newest as of some moment after the question. */
        void onConfirmed(ConfirmationRequest request, ControlSnapshot newest);
    }

    /**
     * Creates one that nobody has asked.
     *
     * @param heldVersion the version of the configuration that this host holds, which the quorum
     *     need not tell again: 30 KB a question, told between zones twice a second
     */
    RoutesConfirmationService(
            EventLoop loop, ControlGroup group, LongSupplier heldVersion, Listener listener) {
        this.loop = loop;
        this.group = group;
        this.heldVersion = heldVersion;
        this.listener = listener;
    }

    /** Answers an entry host once the quorum has. */
    void request(FleetFollow follow, Replier replier) {
        waiting.add(new ConfirmationRequest(follow, replier));
        if (!queryInProgress) {
            queryQuorum();
        }
    }

    private void queryQuorum() {
        List<ConfirmationRequest> requests = waiting;
        waiting = new ArrayList<>();
        queryInProgress = true;
        byte[] stateQuery = ControlStateMachine.stateQuery(heldVersion.getAsLong());
        Thread.startVirtualThread(
                () -> {
                    CommandOutcome outcome = group.query(stateQuery, TIMEOUT);
                    loop.execute(() -> complete(requests, outcome));
                });
    }

    private void complete(List<ConfirmationRequest> requests, CommandOutcome outcome) {
        queryInProgress = false;
        if (outcome instanceof CommandOutcome.Done(byte[] state)) {
            ControlSnapshot newest = ControlStateMachine.decodeState(state);
            requests.forEach(request -> listener.onConfirmed(request, newest));
        } else {
            logger.info("routes.unconfirmed asked={} outcome={}", requests.size(), outcome);
        }
        if (!waiting.isEmpty()) {
            queryQuorum();
        }
    }
}
