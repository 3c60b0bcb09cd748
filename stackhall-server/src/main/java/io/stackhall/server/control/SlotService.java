package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.stackhall.core.id.HostId;
import io.stackhall.core.slot.SlotLease;
import io.stackhall.core.slot.SlotManager;
import io.stackhall.core.slot.SlotRequest;
import io.stackhall.rpc.generated.fleet.SlotAsk;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.SlotCodec;
import io.stackhall.server.peer.Replier;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Leases the slots of brittle upstreams to entry hosts while this host leads the control group.
 * Confined to one event loop.
 */
final class SlotService {

    /** Interval at which leases that were not renewed are ended. */
    private static final long ADVANCE_INTERVAL_MILLIS = 50;

    private final ControlGroup group;
    private final EventLoop loop;
    private final HostId self;
    private final SlotManager manager = new SlotManager();
    private final Map<HostId, Replier> repliers = new HashMap<>();
    private boolean leading;
    private boolean advanceScheduled;

    SlotService(ControlGroup group, EventLoop loop, HostId self) {
        this.group = group;
        this.loop = loop;
        this.self = self;
    }

    /** Sets whether this host leads the control group. */
    void setLeading(boolean leads) {
        leading = leads;
        repliers.clear();
        if (leads) {
            manager.lead(BootClock.nanos());
        }
    }

    /** Handles what an entry host has and wants, if this host leads. */
    void handle(SlotAsk message, Replier replier) {
        if (!leads()) {
            return;
        }
        SlotRequest request = SlotCodec.request(message);
        repliers.put(request.host(), replier);
        tell(manager.request(request, BootClock.nanos()));
        scheduleAdvance();
    }

    private boolean leads() {
        return leading && group.leads();
    }

    /** Repeats the check while there are leases; without any, no timer wakes this host. */
    private void scheduleAdvance() {
        if (!advanceScheduled) {
            advanceScheduled = true;
            loop.schedule(this::advance, ADVANCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void advance() {
        advanceScheduled = false;
        if (!leads()) {
            return;
        }
        tell(manager.advance(BootClock.nanos()));
        if (!manager.isIdle()) {
            scheduleAdvance();
        }
    }

    private void tell(List<SlotLease> leases) {
        for (SlotLease lease : leases) {
            Replier replier = repliers.get(lease.host());
            if (replier != null) {
                replier.send(SlotCodec.encode(lease, self));
            }
        }
    }
}
