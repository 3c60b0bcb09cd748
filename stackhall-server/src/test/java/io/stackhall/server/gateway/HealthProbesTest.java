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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What probes conclude from answers that are none of HTTP, or do not end. */
class HealthProbesTest {

    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();

    @AfterEach
    void stop() throws Exception {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
    }

    // The connection of a probe stayed open for as long as its answer went on.
    @Test
    void connectionOfAProbeWhoseAnswerDoesNotEndIsClosed() throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> {
                    to.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                    while (true) {
                        to.write("more");
                    }
                };
        try (ScriptedUpstream upstream = new ScriptedUpstream("i-1", script)) {
            assertThat(probe(upstream)).isEmpty();
            LocalFleet.await("connection closed", () -> upstream.connections() == 0);
        }
    }

    // A path that had just carried bytes of its upstream counted as broken.
    @Test
    void malformedAnswerToAProbeIsTakenForABrokenPath() throws Exception {
        ScriptedUpstream.Script script =
                (request, to) -> to.write("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n");
        try (ScriptedUpstream upstream = new ScriptedUpstream("i-1", script)) {
            assertThat(probe(upstream)).isEmpty();
        }
    }

    /** Sends a probe, and returns how far it came if the path does not work. */
    private Optional<CallFailure.Stage> probe(ScriptedUpstream upstream) throws Exception {
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
        return result.get(5, TimeUnit.SECONDS);
    }
}
