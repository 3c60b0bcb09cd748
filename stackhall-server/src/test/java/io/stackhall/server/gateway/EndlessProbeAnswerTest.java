package io.stackhall.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.stackhall.platform.RegistrationDecoder;
import io.stackhall.server.fleet.LocalFleet;
import io.stackhall.server.fleet.ScriptedUpstream;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.UpstreamClient;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The connection of a probe ends in time, though the answer to it does not. */
class EndlessProbeAnswerTest {

    @Test
    void connectionOfAProbeWhoseAnswerDoesNotEndIsClosed() throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> {
                    to.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                    while (true) {
                        to.write("more");
                    }
                };
        MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = loops.next();
        try (ScriptedUpstream upstream = new ScriptedUpstream("i-1", script)) {
            CompletableFuture<Optional<CallFailure.Stage>> result = new CompletableFuture<>();
            HealthProbes probes = new HealthProbes(loop, new UpstreamClient(loop, "X-Request-Id"));
            byte[] heartbeat =
                    upstream.heartbeat("plain", "ready", 1, "[]").getBytes(StandardCharsets.UTF_8);
            loop.execute(
                    () ->
                            probes.send(
                                    RegistrationDecoder.decode("i-1", heartbeat).get(),
                                    Optional.empty(),
                                    result::complete));
            assertThat(result.get(5, TimeUnit.SECONDS)).isEmpty();
            LocalFleet.await("connection closed", () -> upstream.connections() == 0);
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
        }
    }
}
