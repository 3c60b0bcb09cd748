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
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.route.RouteTable;
import io.stackhall.core.route.ServiceEntry;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.CallFailure.Stage;
import io.stackhall.server.relay.CallListener;
import io.stackhall.server.relay.UpstreamCall;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.relay.UpstreamRoute;
import io.stackhall.server.settings.Address;
import io.stackhall.server.tunnel.TunnelRoute;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Asks upstreams for their health on new connections, to see whether a path works. Used on one
 * event loop.
 */
final class HealthProbes {

    /** A probe may wait for a slot of its upstream. */
    private static final long TIMEOUT_MILLIS = 400;

    private static final String DEFAULT_HEALTH_PATH = "/";

    private final EventLoop loop;
    private final UpstreamClient upstreams;
    private final Map<ServiceName, String> healthPaths = new HashMap<>();

    HealthProbes(EventLoop loop, UpstreamClient upstreams) {
        this.loop = loop;
        this.upstreams = upstreams;
    }

    void setRoutes(RouteTable routes) {
        healthPaths.clear();
        for (ServiceEntry service : routes.services()) {
            healthPaths.put(service.name(), service.healthPath());
        }
    }

    /**
     * Sends a probe. Any answer shows that the path works, a malformed one too, and so does an
     * upstream that ends the connection in good order: not all of them serve what probes ask for.
     * Links that are lost reset connections or carry nothing.
     *
     * @param through the host of a tunnel, or empty for a connection of this host
     * @param result told nothing if the path works, otherwise how far the probe came
     */
    void send(Instance instance, Optional<HostId> through, Consumer<Optional<Stage>> result) {
        String path = healthPaths.getOrDefault(instance.service(), DEFAULT_HEALTH_PATH);
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, instance.address());
        UpstreamRoute route =
                new UpstreamRoute(
                        Address.parse(instance.address()),
                        through.map(host -> new TunnelRoute(host, instance.id())));
        Probe probe = new Probe(result);
        probe.call = upstreams.sendOnNewConnection(route, request, probe);
        loop.schedule(probe::timeOut, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static final class Probe implements CallListener {
        private final Consumer<Optional<Stage>> result;
        private UpstreamCall call;
        private Stage reached = Stage.NO_CONNECTION;
        private boolean ended;
        private boolean completed;

        Probe(Consumer<Optional<Stage>> result) {
            this.result = result;
        }

        @Override
        public boolean sending() {
            reached = Stage.SENT;
            return true;
        }

        @Override
        public void answered(HttpResponse head) {
            end(Optional.empty());
        }

        @Override
        public void received(ByteBuf part) {
            // That it answers is all that counts.
        }

        @Override
        public void completed(BodyFraming framing) {
            // Nothing more is expected of it.
            completed = true;
        }

        @Override
        public void failed(CallFailure failure) {
            boolean heard =
                    failure.stage() == Stage.ENDED_BY_UPSTREAM
                            || failure.stage() == Stage.UNUSABLE_ANSWER;
            end(heard ? Optional.empty() : Optional.of(failure.stage()));
        }

        /** Also ends an answer that has begun and does not end. */
        private void timeOut() {
            if (!completed) {
                call.cancel();
            }
            end(Optional.of(reached));
        }

        private void end(Optional<Stage> failure) {
            if (!ended) {
                ended = true;
                result.accept(failure);
            }
        }
    }
}
