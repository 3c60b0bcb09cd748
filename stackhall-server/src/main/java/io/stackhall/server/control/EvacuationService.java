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
 * Has the control group commit which zones are evacuated, so that evacuations survive a change of
 * leader and a restart of all hosts, and notifies entry hosts. Confined to one event loop.
 */
final class EvacuationService {

    private static final Logger logger = LogManager.getLogger(EvacuationService.class);

    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(3);

    private final ControlGroup group;
    private final Consumer<Frame> toEntryHosts;
    private final Consumer<EvacuatedZones> onChange;
    private EvacuatedZones zones = EvacuatedZones.none();

    /**
     * Creates a service without evacuated zones.
     *
     * @param toEntryHosts sends a frame to the entry hosts whose primary is this host
     * @param onChange called with each newer state
     */
    EvacuationService(
            ControlGroup group, Consumer<Frame> toEntryHosts, Consumer<EvacuatedZones> onChange) {
        this.group = group;
        this.toEntryHosts = toEntryHosts;
        this.onChange = onChange;
    }

    /**
     * Orders the start or the end of a zone's evacuation. Repeated orders change nothing.
     *
     * @param ends whether the zone is used again
     * @param onOutcome called with the outcome of the commit, on another thread
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

    /** Applies the state that the group has committed, if it is newer. */
    void applyCommitted(EvacuatedZones next) {
        if (next.revision() > zones.revision()) {
            zones = next;
            onChange.accept(next);
            toEntryHosts.accept(EvacuationCodec.frame(next));
        }
    }

    /**
     * Applies a state that a quorum has confirmed, and sends it to an entry host before the host
     * can serve by the routes confirmed with it.
     */
    void applyConfirmed(EvacuatedZones newest, FleetFollow follow, Replier replier) {
        applyCommitted(newest);
        handleFollow(follow, replier);
    }

    /** Sends the evacuated zones to an entry host that holds an older state. */
    void handleFollow(FleetFollow follow, Replier replier) {
        if (follow.getEvacuations() < zones.revision()) {
            replier.send(EvacuationCodec.frame(zones));
        }
    }
}
