package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.Need;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.AdapterWanted;
import io.stackhall.rpc.generated.fleet.InstanceLeaving;
import io.stackhall.rpc.generated.fleet.InstanceUnreachable;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.relay.CallFailure.Stage;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Notifies the control hosts of what this host has learned from requests to instances. Suppresses
 * repetitions of the same notice within 250 ms.
 */
final class ControlNotifier {

    /** An order to an engine takes some ten milliseconds; a repeated notice does no harm. */
    private static final long REPEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final HostId self;
    private final Consumer<Frame> toControlHosts;
    private final Map<Frame, Long> lastSentAt = new HashMap<>();

    ControlNotifier(HostId self, Consumer<Frame> toControlHosts) {
        this.self = self;
        this.toControlHosts = toControlHosts;
    }

    /** Notifies that a request waits for an adapter at an instance. */
    void notifyAdapterWanted(Instance instance, Need need) {
        AdapterWanted wanted =
                AdapterWanted.newBuilder()
                        .setInstance(instance.id().toString())
                        .setModel(need.model().orElseThrow().value())
                        .setAdapter(need.adapter().orElseThrow())
                        .build();
        sendUnlessRecent(Frame.newBuilder().setAdapterWanted(wanted).build());
    }

    /** Notifies that no connection to an instance could be established; ignores other stages. */
    void notifyUnreachable(Instance instance, Stage stage) {
        if (stage != Stage.REFUSED && stage != Stage.NO_CONNECTION) {
            return;
        }
        InstanceUnreachable unreachable =
                InstanceUnreachable.newBuilder()
                        .setInstance(instance.id().toString())
                        .setHost(self.value())
                        .setRefused(stage == Stage.REFUSED)
                        .build();
        sendUnlessRecent(Frame.newBuilder().setInstanceUnreachable(unreachable).build());
    }

    /** Notifies that an instance has announced in an answer that it is leaving. */
    void notifyLeaving(UpstreamId id) {
        sendUnlessRecent(leavingFrame(id));
    }

    /** Returns the notice that an instance is leaving. */
    Frame leavingFrame(UpstreamId id) {
        InstanceLeaving leaving =
                InstanceLeaving.newBuilder()
                        .setInstance(id.toString())
                        .setHost(self.value())
                        .build();
        return Frame.newBuilder().setInstanceLeaving(leaving).build();
    }

    /** Removes records of notices that may be sent again. */
    void sweep() {
        long now = BootClock.nanos();
        lastSentAt.values().removeIf(at -> now - at >= REPEAT_INTERVAL_NANOS);
    }

    private void sendUnlessRecent(Frame frame) {
        long now = BootClock.nanos();
        Long last = lastSentAt.get(frame);
        if (last == null || now - last >= REPEAT_INTERVAL_NANOS) {
            lastSentAt.put(frame, now);
            toControlHosts.accept(frame);
        }
    }
}
