package io.stackhall.server.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.server.fleet.RawHttp;
import io.stackhall.server.fleet.RepeatedAnswers;
import io.stackhall.server.fleet.ScriptedUpstream;
import io.stackhall.server.relay.UpstreamClient;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** An engine that sends its answers a second time, in the place of a later one. */
class RepeatedOrderAnswersTest {

    private static final int CALLS = 6;
    private static final UpstreamId ENGINE = new UpstreamId("i-1", UpstreamId.START_UNKNOWN);

    private final AtomicInteger answered = new AtomicInteger();

    // An order or a report was taken for answered by the copy of an earlier answer.
    @Test
    void orderIsNotAnsweredByTheAnswerToAnEarlierOne() throws Exception {
        assertOwnAnswers(request -> RepeatedAnswers.bytes(request, 200, nextBody()));
    }

    // The same with engines whose answers to orders do not say which one they belong to.
    @Test
    void orderIsNotAnsweredByAnUnnamedAnswerToAnEarlierOne() throws Exception {
        assertOwnAnswers(
                request -> {
                    String body = nextBody();
                    return "HTTP/1.1 200 X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
                });
    }

    private String nextBody() {
        return "answer " + answered.incrementAndGet();
    }

    private static void assertOwnAnswers(Function<RawHttp.Message, String> answers)
            throws Exception {
        MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = loops.next();
        try (ScriptedUpstream engine =
                new ScriptedUpstream(ENGINE.value(), new RepeatedAnswers(1, answers))) {
            EngineClient client =
                    new EngineClient(
                            loop, new UpstreamClient(loop, "X-Request-Id"), () -> true, null);
            for (int call = 1; call <= CALLS; call++) {
                CompletableFuture<String> got = new CompletableFuture<>();
                loop.execute(
                        () ->
                                client.get(
                                        ENGINE,
                                        engine.address(),
                                        "/report",
                                        (status, body) ->
                                                got.complete(
                                                        new String(body, StandardCharsets.UTF_8))));
                assertThat(got.get(5, TimeUnit.SECONDS)).isEqualTo("answer " + call);
            }
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
                    .await(Duration.ofSeconds(5).toMillis());
        }
    }
}
