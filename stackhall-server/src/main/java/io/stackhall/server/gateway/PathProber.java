package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.dispatch.Dispatcher;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.route.RouteTable;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.relay.CallFailure.Stage;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.relay.UpstreamRoute;
import io.stackhall.server.settings.Address;
import io.stackhall.server.tunnel.TunnelRoute;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Probes upstreams: on a new connection of this host, to see whether its path works again, and
 * through another host, to see whether that one reaches what this one does not. Used on one event
 * loop.
 */
final class PathProber {

    private final UpstreamClient upstreams;
    private final UpstreamPathMonitor paths;
    private final Dispatcher dispatcher;
    private final ControlNotifier notices;
    private final OwnLinks ownLinks;
    private final HealthProbes healthProbes;
    private final PathChecks pathChecks;
    private final Set<UpstreamId> asked = new HashSet<>();

    PathProber(
            EventLoop loop,
            UpstreamClient upstreams,
            UpstreamPathMonitor paths,
            Dispatcher dispatcher,
            ControlNotifier notices,
            RandomGenerator random) {
        this.upstreams = upstreams;
        this.paths = paths;
        this.dispatcher = dispatcher;
        this.ownLinks = new OwnLinks(upstreams, paths, dispatcher, random);
        this.healthProbes = new HealthProbes(loop, upstreams);
        this.pathChecks = new PathChecks(healthProbes, paths);
        this.notices = notices;
    }

    OwnLinks ownLinks() {
        return ownLinks;
    }

    void setRoutes(RouteTable routes) {
        healthProbes.setRoutes(routes);
    }

    /** Sends the probes that are due, and checks of paths that other hosts could stand in for. */
    void probeDue() {
        for (UpstreamId id : paths.dueProbes()) {
            dispatcher.find(id).ifPresent(this::probe);
        }
        if (paths.isAlone()) {
            return;
        }
        for (UpstreamId id : paths.dueSilenceChecks()) {
            dispatcher.find(id).ifPresent(pathChecks::checkSilent);
        }
        for (UpstreamId id : paths.dueBreakOffChecks()) {
            dispatcher.find(id).ifPresent(pathChecks::checkBrokenOff);
        }
    }

    /**
     * Probes an upstream on a new connection of this host. One that does not answer in time may
     * only be slow, unless its path is known to be broken.
     */
    private void probe(Instance instance) {
        long startedAt = BootClock.nanos();
        healthProbes.send(
                instance,
                Optional.empty(),
                failure -> {
                    if (failure.isEmpty()) {
                        paths.heard(instance.id(), startedAt);
                    } else if (failure.get() != Stage.SENT || paths.isBroken(instance.id())) {
                        paths.failed(instance.id(), Stage.NO_CONNECTION);
                    }
                });
    }

    /**
     * Reports that no connection of this host to an upstream comes up. The control hosts are
     * notified only if another host does not reach it either, or if there is no other host: the
     * fleet must not take an upstream for lost that only this host does not reach.
     *
     * @param own how far the connection of this host came
     */
    void reportUnreached(Instance instance, Stage own) {
        if (paths.isCutOff() || !asked.add(instance.id())) {
            return;
        }
        probeThroughOtherHost(
                instance,
                own,
                result -> {
                    asked.remove(instance.id());
                    result.ifPresent(stage -> recordUnreachable(instance, stage));
                });
    }

    private void recordUnreachable(Instance instance, Stage stage) {
        notices.notifyUnreachable(instance, stage);
        dispatcher.connectionFailed(instance.id(), BootClock.nanos());
    }

    /**
     * Finds out whether an upstream has ended, as far as a connection tells: this host is refused,
     * and so is another one. If the upstream itself has just ended a connection of this host, links
     * that refuse connections did not do that, so that it is enough that no other host reaches it.
     *
     * @param endedConnection whether the upstream has ended a connection of this host in good order
     * @param result told whether it has ended
     */
    void checkEnded(Instance instance, boolean endedConnection, Consumer<Boolean> result) {
        Address address = Address.parse(instance.address());
        upstreams.probe(
                UpstreamRoute.direct(address),
                own -> {
                    if (own.filter(Stage.REFUSED::equals).isEmpty()) {
                        result.accept(false);
                    } else if (endedConnection) {
                        checkOtherHostReaches(instance, reached -> result.accept(!reached));
                    } else {
                        probeThroughOtherHost(
                                instance,
                                Stage.REFUSED,
                                other ->
                                        result.accept(
                                                other.filter(Stage.REFUSED::equals).isPresent()));
                    }
                });
    }

    private void checkOtherHostReaches(Instance instance, Consumer<Boolean> result) {
        paths.tunnelHostFor(instance.id())
                .ifPresentOrElse(
                        host ->
                                probeThrough(
                                        host,
                                        instance,
                                        Stage.REFUSED,
                                        failure -> result.accept(failure.isEmpty())),
                        () -> result.accept(false));
    }

    private void probeThroughOtherHost(
            Instance instance, Stage own, Consumer<Optional<Stage>> result) {
        Optional<HostId> host = paths.tunnelHostFor(instance.id());
        if (host.isEmpty()) {
            ownLinks.checkUpstreamIsToBlame(
                    instance,
                    own,
                    toBlame -> result.accept(toBlame ? Optional.of(own) : Optional.empty()));
            return;
        }
        probeThrough(
                host.get(),
                instance,
                own,
                failure -> result.accept(failure.filter(PathProber::speaksOfUpstream)));
    }

    private void probeThrough(
            HostId host, Instance instance, Stage own, Consumer<Optional<Stage>> result) {
        upstreams.probe(
                route(host, instance),
                failure -> {
                    if (failure.isEmpty()) {
                        paths.lost(instance.id(), own);
                    }
                    failure.ifPresent(stage -> paths.tunnelFailed(host, instance, stage));
                    result.accept(failure);
                });
    }

    /**
     * Finds out whether an upstream is reached through another host.
     *
     * @param opened run if it is, before anything else is sent through that host
     */
    void openTunnel(Instance instance, Runnable opened) {
        paths.tunnelHostFor(instance.id())
                .ifPresent(
                        host ->
                                upstreams.probe(
                                        route(host, instance),
                                        failure -> {
                                            if (failure.isPresent()) {
                                                paths.tunnelFailed(host, instance, failure.get());
                                            } else {
                                                paths.tunnelHostReaches(host, instance);
                                                opened.run();
                                            }
                                        }));
    }

    private static UpstreamRoute route(HostId host, Instance instance) {
        return new UpstreamRoute(
                Address.parse(instance.address()),
                Optional.of(new TunnelRoute(host, instance.id())));
    }

    private static boolean speaksOfUpstream(Stage stage) {
        return stage != Stage.NO_TUNNEL && stage != Stage.NOT_REACHED;
    }
}
