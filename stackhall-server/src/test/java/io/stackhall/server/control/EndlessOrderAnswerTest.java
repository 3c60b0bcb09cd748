package io.stackhall.server.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.server.fleet.ScriptedUpstream;
import io.stackhall.server.relay.UpstreamClient;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** An engine whose answer to an order does not end must not fill a control host's memory. */
class EndlessOrderAnswerTest {

    private static final int MAX_SENT_BYTES = 16 << 20;

    @Test
    void answerThatDoesNotEndIsBrokenOff() throws Exception {
        CompletableFuture<Integer> sent = new CompletableFuture<>();
        ScriptedUpstream.Script script =
                (request, to) -> {
                    int bytes = 0;
                    try {
                        to.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                        String block = "x".repeat(64 << 10);
                        while (true) {
                            to.write(block);
                            bytes += block.length();
                        }
                    } finally {
                        sent.complete(bytes);
                    }
                };
        MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = loops.next();
        try (ScriptedUpstream engine = new ScriptedUpstream("i-1", script)) {
            CompletableFuture<Optional<Integer>> answer = new CompletableFuture<>();
            EngineClient client =
                    new EngineClient(
                            loop, new UpstreamClient(loop, "X-Request-Id"), () -> true, null);
            loop.execute(
                    () ->
                            client.get(
                                    new UpstreamId("i-1", UpstreamId.START_UNKNOWN),
                                    engine.address(),
                                    "/-/report",
                                    (status, body) -> answer.complete(status)));
            assertThat(answer.get(5, TimeUnit.SECONDS)).isEmpty();
            assertThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(MAX_SENT_BYTES);
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
                    .await(Duration.ofSeconds(5).toMillis());
        }
    }
}
