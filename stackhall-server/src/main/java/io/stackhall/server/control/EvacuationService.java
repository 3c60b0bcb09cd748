package io.stackhall.server.control;

import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.id.ZoneId;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.fleet.EvacuationCodec;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.peer.Replier;
import java.time.Duration;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Has the control group agree on which zones are evacuated, so that this outlives a change of
 * leader and a restart of all hosts, and tells entry hosts. Used on one event loop.
 */
final class EvacuationService {

    private static final Logger logger = LogManager.getLogger(EvacuationService.class);

    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(3);

    private final ControlGroup group;
    private final Consumer<Frame> toEntryHosts;
    private final Consumer<EvacuatedZones> onChange;
    private EvacuatedZones zones = EvacuatedZones.none();

    /**
     * Creates a desk that knows of no evacuation.
     *
     * @param toEntryHosts sends a frame to the entry hosts that rely on this one
     * @param onChange told of each newer state
     */
    EvacuationService(
            ControlGroup group, Consumer<Frame> toEntryHosts, Consumer<EvacuatedZones> onChange) {
        this.group = group;
        this.toEntryHosts = toEntryHosts;
        this.onChange = onChange;
    }

    /**
     * Orders that a zone is emptied, or used again. Repeated orders change nothing.
     *
     * @param onOutcome told whether the group keeps it, on another thread
     */
    void order(ZoneId zone, boolean ends, Consumer<CommandOutcome> onOutcome) {
        byte[] command = ControlStateMachine.evacuationCommand(zone, ends);
        Thread.startVirtualThread(
                () -> {
                    CommandOutcome outcome = group.command(command, COMMIT_TIMEOUT);
                    logger.info(
                            "evacuation.ordered zone={} ends={} outcome={}", zone, ends, outcome);
                    onOutcome.accept(outcome);
                });
    }

    /** Takes over what the group has agreed on. */
    void applyCommitted(EvacuatedZones next) {
        if (next.revision() > zones.revision()) {
            zones = next;
            onChange.accept(next);
            toEntryHosts.accept(EvacuationCodec.frame(next));
        }
    }

    /**
     * Tells an entry host what a quorum knows, before it can serve by the routes confirmed with it.
     */
    void applyConfirmed(EvacuatedZones newest, FleetFollow follow, Replier replier) {
        applyCommitted(newest);
        handleFollow(follow, replier);
    }

    /** Answers an entry host that knows an older state. */
    void handleFollow(FleetFollow follow, Replier replier) {
        if (follow.getEvacuations() < zones.revision()) {
            replier.send(EvacuationCodec.frame(zones));
        }
    }
}
