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
 * Confirms the newest configuration to entry hosts by querying a quorum. Requests that arrive while
 * a query is in flight share the next one, so that the number of queries does not grow with the
 * number of hosts. Confined to one event loop.
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

    /** An entry host's request, and the channel for the reply. */
    record ConfirmationRequest(FleetFollow follow, Replier replier) {}

    /** Receives confirmed states. */
    @FunctionalInterface
    interface Listener {
        /** Called with a state that was the newest at some time after the request. */
        void onConfirmed(ConfirmationRequest request, ControlSnapshot newest);
    }

    /**
     * Creates a service without pending requests.
     *
     * @param heldVersion the version of the configuration that this host holds; the quorum omits
     *     the body of that version, since 30 KB per query would be sent between zones twice a
     *     second
     */
    RoutesConfirmationService(
            EventLoop loop, ControlGroup group, LongSupplier heldVersion, Listener listener) {
        this.loop = loop;
        this.group = group;
        this.heldVersion = heldVersion;
        this.listener = listener;
    }

    /** Confirms the newest configuration to an entry host once the quorum has answered. */
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
