package io.stackhall.server.gateway;

import io.stackhall.core.dispatch.Need;
import io.stackhall.core.fleet.Instance;
import io.stackhall.rpc.generated.fleet.AdapterWanted;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Asks the control hosts for adapters that requests wait for, each again only after a while. */
final class AdapterWishes {

    /** An order takes some ten milliseconds; asked again, it does no harm. */
    private static final long ASK_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Consumer<Frame> toControlHosts;
    private final Map<AdapterWanted, Long> asked = new HashMap<>();

    AdapterWishes(Consumer<Frame> toControlHosts) {
        this.toControlHosts = toControlHosts;
    }

    void want(Instance instance, Need need) {
        AdapterWanted wanted =
                AdapterWanted.newBuilder()
                        .setInstance(instance.id().value())
                        .setModel(need.model().orElseThrow().value())
                        .setAdapter(need.adapter().orElseThrow())
                        .build();
        long now = System.nanoTime();
        Long last = asked.get(wanted);
        if (last == null || now - last >= ASK_AGAIN_NANOS) {
            asked.put(wanted, now);
            toControlHosts.accept(Frame.newBuilder().setAdapterWanted(wanted).build());
        }
    }

    /** Forgets what was asked for long ago. */
    void sweep() {
        long now = System.nanoTime();
        asked.values().removeIf(at -> now - at >= ASK_AGAIN_NANOS);
    }
}
