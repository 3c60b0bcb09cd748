package io.stackhall.server.gateway;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.path.TunnelHost;
import io.stackhall.core.path.TunnelHosts;
import io.stackhall.core.path.UpstreamPaths;
import io.stackhall.core.path.UpstreamPaths.Change;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.metrics.FleetMetrics;
import io.stackhall.server.relay.CallFailure.Stage;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps track of which upstreams this host reaches on its own connections, and of the hosts through
 * which it reaches the others. Used on one event loop.
 */
final class UpstreamPathMonitor {

    private static final Logger logger = LogManager.getLogger(UpstreamPathMonitor.class);

    private final UpstreamPaths paths = new UpstreamPaths();
    private final TunnelHosts tunnels;
    private final FleetMetrics metrics;
    private final RandomGenerator random;
    private final Set<UpstreamAttempt> attempts = new HashSet<>();
    private Runnable changeListener = () -> {};
    private boolean alone = true;
    private long cutOffAt;

    UpstreamPathMonitor(TunnelHosts tunnels, FleetMetrics metrics, RandomGenerator random) {
        this.tunnels = tunnels;
        this.metrics = metrics;
        this.random = random;
    }

    /** Sets the listener to call when this host has become of less help to others, or of more. */
    void onChange(Runnable listener) {
        changeListener = listener;
    }

    /** Replaces the hosts through which this one may open tunnels. */
    void setTunnelHosts(List<TunnelHost> hosts) {
        tunnels.replace(hosts);
    }

    /** Sets the number of entry hosts; one that is alone has nothing but its own connections. */
    void setHostCount(int count) {
        alone = count <= 1;
    }

    /** Returns whether there is no other entry host. */
    boolean isAlone() {
        return alone;
    }

    /** Applies a change of an instance. */
    void instanceChanged(Instance instance) {
        if (instance.state() == InstanceState.GONE) {
            paths.forget(instance.id());
        } else {
            paths.add(instance.id());
        }
    }

    /** Returns whether this host reaches no upstream on its own connections. */
    boolean isCutOff() {
        return paths.isCutOff();
    }

    /** Returns whether requests reach no upstream, neither directly nor through another host. */
    boolean reachesNone() {
        return !alone && paths.isCutOff() && !tunnels.isAvailable(BootClock.nanos());
    }

    /** Returns the number of upstreams that this host does not reach on its own connections. */
    int brokenCount() {
        return paths.brokenCount();
    }

    /** Returns whether requests reach an upstream, directly or through another host. */
    boolean isReachable(UpstreamId id) {
        return !paths.isBroken(id) || tunnels.isEmpty() || hasTunnelTo(id);
    }

    /** Returns when a caller should come back whose request reaches no upstream. */
    Duration retryDelay() {
        return paths.retryDelay(random, BootClock.nanos());
    }

    /** Returns whether an upstream is reached by way of another host, while others need none. */
    boolean isDetoured(UpstreamId id) {
        return !paths.isCutOff() && paths.isBroken(id);
    }

    /** Returns whether this host reaches some upstreams only through others. */
    boolean isImpaired() {
        return paths.isImpaired(BootClock.nanos());
    }

    /** Returns whether a request may take a tunnel to any upstream. */
    boolean hasTunnels() {
        return tunnels.isAvailable(BootClock.nanos());
    }

    /** Returns whether a request whose connection did not come up may take another path. */
    boolean hasTunnelTo(UpstreamId id) {
        return tunnels.isAvailable(id, BootClock.nanos());
    }

    /** Returns the host through which a request is sent, or empty if it is sent directly. */
    Optional<HostId> tunnelTo(UpstreamId id) {
        return paths.isBroken(id) ? tunnelHostFor(id) : Optional.empty();
    }

    /** Returns a host that may reach an upstream which this one does not reach. */
    Optional<HostId> tunnelHostFor(UpstreamId id) {
        return tunnels.choose(id, BootClock.nanos());
    }

    /** Returns some hosts that may reach an upstream which this one does not reach. */
    List<HostId> tunnelHostsFor(UpstreamId id, int count) {
        return tunnels.choose(id, count, BootClock.nanos());
    }

    /** Returns whether connections of this host to an upstream fail at present. */
    boolean isBroken(UpstreamId id) {
        return paths.isBroken(id);
    }

    /** Records that a request is written on a connection of this host. */
    void sent(UpstreamAttempt attempt) {
        attempts.add(attempt);
        paths.sent(attempt.instance().id(), BootClock.nanos());
    }

    /** Records that such a request has ended. */
    void ended(UpstreamAttempt attempt) {
        if (attempts.remove(attempt)) {
            paths.ended(attempt.instance().id());
        }
    }

    /**
     * Records bytes from an upstream on a connection of this host.
     *
     * @param openedAt when that connection was opened
     */
    void heard(UpstreamId id, long openedAt) {
        apply(paths.heard(id, openedAt, BootClock.nanos()), id);
    }

    /**
     * Records that a connection of this host to an upstream has failed before an answer began.
     *
     * @param stage how far the request came
     */
    void failed(UpstreamId id, Stage stage) {
        metrics.pathFailed(stage.name());
        long now = BootClock.nanos();
        boolean connected =
                switch (stage) {
                    case SENT, ENDED_BY_UPSTREAM, UNUSABLE_ANSWER, NOT_SENT -> true;
                    case REFUSED, NO_CONNECTION, NO_TUNNEL, NOT_REACHED, WITHDRAWN -> false;
                };
        boolean wasImpaired = paths.isImpaired(now);
        Change change = connected ? paths.interrupted(id, now) : paths.failed(id, now);
        apply(change, id);
        if (change == Change.NONE && !wasImpaired && paths.isImpaired(now)) {
            changeListener.run();
        }
    }

    /**
     * Records that another host reaches an upstream which this one does not reach. Requests that
     * are under way there on older connections may never be answered, unless something has come
     * lately; where new connections are refused, older ones may live on.
     *
     * @param own how far the connection of this host came
     */
    void lost(UpstreamId id, Stage own) {
        long now = BootClock.nanos();
        attempts.stream()
                .filter(attempt -> attempt.instance().id().equals(id))
                .filter(
                        attempt ->
                                attempt.isSilent(now)
                                        || (own != Stage.REFUSED && !attempt.isAnswered()))
                .toList()
                .forEach(UpstreamAttempt::pathLost);
    }

    /** Records that connections of this host to an upstream carry nothing, though others' do. */
    void mute(UpstreamId id) {
        metrics.pathFailed(Stage.NO_CONNECTION.name());
        apply(paths.mute(id, BootClock.nanos()), id);
    }

    /** Returns whether connections of this host to an upstream come up and carry nothing. */
    boolean isMute(UpstreamId id) {
        return paths.isMute(id);
    }

    /** Records that a silent upstream has not answered a check of this host or of another one. */
    void silenceUnconfirmed(UpstreamId id) {
        apply(paths.silenceUnconfirmed(id, BootClock.nanos()), id);
    }

    /** Returns the silent upstreams to check now. */
    Set<UpstreamId> dueSilenceChecks() {
        return paths.dueSilenceChecks(BootClock.nanos());
    }

    /** Returns the upstreams to check now that broke connections off. */
    Set<UpstreamId> dueBreakOffChecks() {
        return paths.dueBreakOffChecks();
    }

    /** Records that a request is sent through a host. */
    void tunnelOpened(HostId host) {
        tunnels.opened(host);
    }

    /** Records that a request that was sent through a host has ended. */
    void tunnelClosed(HostId host) {
        tunnels.closed(host);
    }

    /**
     * Records that a tunnel through a host has not come up, or has broken off without an answer.
     *
     * @param stage how far it came; where the upstream itself is to blame, that says nothing about
     *     the host
     */
    void tunnelFailed(HostId host, Instance instance, Stage stage) {
        metrics.pathFailed(stage.name());
        switch (stage) {
            case NO_TUNNEL -> tunnels.failed(host, BootClock.nanos());
            case NOT_REACHED, SENT -> tunnels.unreached(host, instance.id(), BootClock.nanos());
            default -> {
                // Another host would fare no better.
            }
        }
    }

    /** Records that an upstream has answered a check through a host. */
    void tunnelHostReaches(HostId host, Instance instance) {
        tunnels.reached(host, instance.id(), BootClock.nanos());
    }

    /** Returns the upstreams to probe now. */
    Set<UpstreamId> dueProbes() {
        return paths.dueProbes(BootClock.nanos());
    }

    /** Updates the gauges of the current state. */
    void updateMetrics() {
        metrics.state("cut_off_from_upstreams", paths.isCutOff() ? 1 : 0);
        metrics.state("broken_upstream_paths", paths.brokenCount());
        metrics.state("requests_in_tunnels", tunnels.inUse());
    }

    private void apply(Change change, UpstreamId id) {
        long now = BootClock.nanos();
        switch (change) {
            case CUT_OFF -> {
                cutOffAt = now;
                logger.warn("upstreams.cut-off instance={} inFlight={}", id, attempts.size());
                if (paths.isQuiet(now)) {
                    List.copyOf(attempts).forEach(UpstreamAttempt::pathLost);
                }
                changeListener.run();
            }
            case REACHES_AGAIN -> {
                logger.info(
                        "upstreams.reached-again instance={} afterMs={}",
                        id,
                        TimeUnit.NANOSECONDS.toMillis(now - cutOffAt));
                changeListener.run();
            }
            case NONE -> {}
        }
    }
}
