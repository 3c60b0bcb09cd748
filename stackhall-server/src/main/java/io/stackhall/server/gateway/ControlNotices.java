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

/** Tells the control hosts what requests have met, the same again only after a while. */
final class ControlNotices {

    /** An order takes some ten milliseconds; told again, it does no harm. */
    private static final long AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final HostId self;
    private final Consumer<Frame> toControlHosts;
    private final Map<Frame, Long> told = new HashMap<>();

    ControlNotices(HostId self, Consumer<Frame> toControlHosts) {
        this.self = self;
        this.toControlHosts = toControlHosts;
    }

    /** Says that a request waits for an adapter. */
    void wantAdapter(Instance instance, Need need) {
        AdapterWanted wanted =
                AdapterWanted.newBuilder()
                        .setInstance(instance.id().toString())
                        .setModel(need.model().orElseThrow().value())
                        .setAdapter(need.adapter().orElseThrow())
                        .build();
        tell(Frame.newBuilder().setAdapterWanted(wanted).build());
    }

    /** Says that no connection to an instance came up. */
    void unreachable(Instance instance, Stage stage) {
        if (stage != Stage.REFUSED && stage != Stage.NO_CONNECTION) {
            return;
        }
        InstanceUnreachable unreachable =
                InstanceUnreachable.newBuilder()
                        .setInstance(instance.id().toString())
                        .setHost(self.value())
                        .setRefused(stage == Stage.REFUSED)
                        .build();
        tell(Frame.newBuilder().setInstanceUnreachable(unreachable).build());
    }

    /** Says that an instance has said in an answer that it leaves. */
    void leaving(UpstreamId id) {
        tell(leavingOf(id));
    }

    /** Returns the frame that says that an instance leaves. */
    Frame leavingOf(UpstreamId id) {
        InstanceLeaving leaving =
                InstanceLeaving.newBuilder()
                        .setInstance(id.toString())
                        .setHost(self.value())
                        .build();
        return Frame.newBuilder().setInstanceLeaving(leaving).build();
    }

    /** Forgets what was told long ago. */
    void sweep() {
        long now = BootClock.nanos();
        told.values().removeIf(at -> now - at >= AGAIN_NANOS);
    }

    private void tell(Frame frame) {
        long now = BootClock.nanos();
        Long last = told.get(frame);
        if (last == null || now - last >= AGAIN_NANOS) {
            told.put(frame, now);
            toControlHosts.accept(frame);
        }
    }
}
