package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.stackhall.core.answer.BodyFraming;
import io.stackhall.core.dispatch.Dispatcher;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.route.RouteTable;
import io.stackhall.core.route.ServiceEntry;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.CallFailure.Stage;
import io.stackhall.server.relay.CallListener;
import io.stackhall.server.relay.UpstreamCall;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.relay.UpstreamRoute;
import io.stackhall.server.settings.Address;
import io.stackhall.server.tunnel.TunnelRoute;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Probes upstreams: on a new connection of this host, to see whether its path works again, and
 * through another host, to see whether that one reaches what this one does not. Used on one event
 * loop.
 */
final class PathProber {

    /** A probe may wait for a slot of its upstream. */
    private static final long PROBE_TIMEOUT_MILLIS = 400;

    private static final String DEFAULT_HEALTH_PATH = "/";

    private final EventLoop loop;
    private final UpstreamClient upstreams;
    private final UpstreamPathMonitor paths;
    private final Dispatcher dispatcher;
    private final ControlNotifier notices;
    private final OwnLinks ownLinks;
    private final Map<ServiceName, String> healthPaths = new HashMap<>();
    private final Set<UpstreamId> asked = new HashSet<>();

    PathProber(
            EventLoop loop,
            UpstreamClient upstreams,
            UpstreamPathMonitor paths,
            Dispatcher dispatcher,
            ControlNotifier notices,
            RandomGenerator random) {
        this.loop = loop;
        this.upstreams = upstreams;
        this.paths = paths;
        this.dispatcher = dispatcher;
        this.ownLinks = new OwnLinks(upstreams, paths, dispatcher, random);
        this.notices = notices;
    }

    OwnLinks ownLinks() {
        return ownLinks;
    }

    void setRoutes(RouteTable routes) {
        healthPaths.clear();
        for (ServiceEntry service : routes.services()) {
            healthPaths.put(service.name(), service.healthPath());
        }
    }

    /** Sends the probes that are due. */
    void probeDue() {
        for (UpstreamId id : paths.dueProbes()) {
            dispatcher.find(id).ifPresent(instance -> new Probe(instance).start());
        }
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
     * Finds out whether an upstream has ended, as far as a connection tells: both this host and
     * another one are refused.
     *
     * @param result told whether it has ended
     */
    void checkEnded(Instance instance, Consumer<Boolean> result) {
        Address address = Address.parse(instance.address());
        upstreams.probe(
                UpstreamRoute.direct(address),
                own -> {
                    if (own.filter(Stage.REFUSED::equals).isEmpty()) {
                        result.accept(false);
                        return;
                    }
                    probeThroughOtherHost(
                            instance,
                            Stage.REFUSED,
                            other ->
                                    result.accept(other.filter(Stage.REFUSED::equals).isPresent()));
                });
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
        TunnelRoute tunnel = new TunnelRoute(host.get(), instance.id());
        upstreams.probe(
                new UpstreamRoute(Address.parse(instance.address()), Optional.of(tunnel)),
                stage -> {
                    if (stage.isEmpty() && own != Stage.REFUSED) {
                        paths.lost(instance.id());
                    }
                    stage.ifPresent(failure -> paths.tunnelFailed(host.get(), instance, failure));
                    result.accept(stage.filter(PathProber::speaksOfUpstream));
                });
    }

    private static boolean speaksOfUpstream(Stage stage) {
        return stage != Stage.NO_TUNNEL && stage != Stage.NOT_REACHED;
    }

    /**
     * One probe on a new connection of this host. Any answer shows that the path works, and so does
     * an upstream that ends the connection in good order: not all of them serve what probes ask
     * for. Links that are lost reset connections or carry nothing.
     */
    private final class Probe implements CallListener {
        private final Instance instance;
        private final long startedAt = BootClock.nanos();
        private UpstreamCall call;
        private boolean ended;

        Probe(Instance instance) {
            this.instance = instance;
        }

        void start() {
            String path = healthPaths.getOrDefault(instance.service(), DEFAULT_HEALTH_PATH);
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, instance.address());
            call = upstreams.sendOnNewConnection(Address.parse(instance.address()), request, this);
            loop.schedule(this::timeOut, PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public boolean sending() {
            return true;
        }

        @Override
        public void answered(HttpResponse head) {
            reached();
        }

        @Override
        public void received(ByteBuf part) {
            // That it answers is all that counts.
        }

        @Override
        public void completed(BodyFraming framing) {
            // The connection may be used for requests now.
        }

        @Override
        public void failed(CallFailure failure) {
            if (failure.stage() == Stage.ENDED_BY_UPSTREAM) {
                reached();
            } else {
                end();
            }
        }

        private void reached() {
            if (!ended) {
                ended = true;
                paths.heard(instance.id(), startedAt);
            }
        }

        private void timeOut() {
            if (!ended) {
                call.cancel();
                end();
            }
        }

        private void end() {
            if (!ended) {
                ended = true;
                paths.failed(instance.id(), Stage.NO_CONNECTION);
            }
        }
    }
}
