package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.server.clock.BootClock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Determines whether an instance that interrupted a request has crashed or has only lost a
 * connection: after a crash, connections to its address are refused, also those of another host.
 *
 * <p>In the other cases, such as a connection that is reset or cut, an instance that is slow or
 * unresponsive, or a single answer that is cut short, a new connection is accepted or times out,
 * but is not refused. Used on one event loop.
 */
final class CrashProbe {

    /**
     * Time for which a crash is remembered, long enough for every connection of the incarnation to
     * have been closed as well.
     */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * Delay before a second probe. The connections of a process that ends may be closed before its
     * listening socket: of 3,000 connections that were opened right after the first was closed, 200
     * were still accepted or reset (two sockets of one process).
     */
    private static final long LISTENER_CLOSE_DELAY_MILLIS = 100;

    private final EventLoop loop;
    private final PathProber prober;
    private final Map<UpstreamId, Long> crashed = new HashMap<>();
    private final Map<Probe, List<Consumer<Boolean>>> pending = new HashMap<>();

    /**
     * A probe in progress.
     *
     * @param endedConnection whether the incarnation itself has ended a connection of this host
     */
    private record Probe(UpstreamId incarnation, boolean endedConnection) {}

    CrashProbe(EventLoop loop, PathProber prober) {
        this.loop = loop;
        this.prober = prober;
    }

    /**
     * Checks whether an incarnation has crashed. Concurrent checks of one incarnation share a
     * probe.
     *
     * @param endedConnection whether the instance has ended a connection of this host in good order
     * @param result receives whether it has crashed, at once if that is already known
     */
    void check(Instance instance, boolean endedConnection, Consumer<Boolean> result) {
        if (crashed.containsKey(instance.id())) {
            result.accept(true);
            return;
        }
        Probe probe = new Probe(instance.id(), endedConnection);
        List<Consumer<Boolean>> others = pending.get(probe);
        if (others != null) {
            others.add(result);
            return;
        }
        pending.put(probe, new ArrayList<>(List.of(result)));
        prober.checkEnded(instance, endedConnection, ended -> probed(probe, ended));
    }

    /**
     * Checks again, after a delay, whether an incarnation whose address did not refuse a connection
     * has crashed.
     *
     * @param endedConnection whether the instance has ended a connection of this host in good order
     * @param result receives whether it has crashed
     */
    void checkLater(Instance instance, boolean endedConnection, Consumer<Boolean> result) {
        loop.schedule(
                () -> check(instance, endedConnection, result),
                LISTENER_CLOSE_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Removes crashes that are older than the retention time. */
    void sweep() {
        long now = BootClock.nanos();
        crashed.values().removeIf(at -> now - at > RETENTION_NANOS);
    }

    private void probed(Probe probe, boolean ended) {
        if (ended) {
            crashed.put(probe.incarnation(), BootClock.nanos());
        }
        pending.remove(probe).forEach(result -> result.accept(ended));
    }
}
