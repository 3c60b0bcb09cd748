package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.settings.Address;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Tells whether an instance that broke a request off has ended, or has only lost a connection: in
 * the first case nobody listens at its address any more.
 *
 * <p>A connection that is reset or cut, an instance that is slow or silent, and one that breaks off
 * a single answer all leave somebody listening, or nobody who says so. Used on one event loop.
 */
final class CrashProbe {

    /** Long enough for every connection of the life to have been closed, too. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * The connections of a process that ends may go before its listener: of 3,000 connections that
     * were opened right after, 200 were still answered or reset (two sockets of one process).
     */
    private static final long LISTENER_CLOSE_DELAY_MILLIS = 100;

    private final EventLoop loop;
    private final UpstreamClient upstreams;
    private final Map<UpstreamId, Long> crashed = new HashMap<>();
    private final Map<UpstreamId, List<Consumer<Boolean>>> pending = new HashMap<>();

    CrashProbe(EventLoop loop, UpstreamClient upstreams) {
        this.loop = loop;
        this.upstreams = upstreams;
    }

    /**
     * Finds out whether a life has ended.
     *
     * @param then told, at once where it is known
     */
    void check(Instance instance, Consumer<Boolean> then) {
        if (crashed.containsKey(instance.id())) {
            then.accept(true);
            return;
        }
        List<Consumer<Boolean>> others = pending.get(instance.id());
        if (others != null) {
            others.add(then);
            return;
        }
        pending.put(instance.id(), new ArrayList<>(List.of(then)));
        upstreams.probe(
                Address.parse(instance.address()), refused -> probed(instance.id(), refused));
    }

    /**
     * Finds out a little later whether a life that somebody still answered for has ended.
     *
     * @param then told if it has
     */
    void checkLater(Instance instance, Runnable then) {
        loop.schedule(
                () ->
                        check(
                                instance,
                                gone -> {
                                    if (gone) {
                                        then.run();
                                    }
                                }),
                LISTENER_CLOSE_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Forgets what ended long ago. */
    void sweep() {
        long now = BootClock.nanos();
        crashed.values().removeIf(at -> now - at > RETENTION_NANOS);
    }

    private void probed(UpstreamId life, boolean refused) {
        if (refused) {
            crashed.put(life, BootClock.nanos());
        }
        pending.remove(life).forEach(then -> then.accept(refused));
    }
}
