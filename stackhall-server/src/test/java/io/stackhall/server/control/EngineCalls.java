package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.server.fleet.ScriptedUpstream;
import io.stackhall.server.relay.UpstreamClient;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** A client of engines on an event loop of its own, and what it learns of them. */
final class EngineCalls implements AutoCloseable, EngineClient.EngineListener {

    private static final String PATH = "/report";

    /** The revision of every engine's limit that this host knows. */
    final AtomicReference<LimitRevision> known = new AtomicReference<>(LimitRevision.none());

    /** The revisions on which the limits that engines have told are based. */
    final List<LimitRevision> bases = new CopyOnWriteArrayList<>();

    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final EngineClient client =
            new EngineClient(loop, new UpstreamClient(loop, "X-Request-Id"), () -> true, this);

    /** The status of an answer, if one came in time, and its body. */
    record Answer(Optional<Integer> status, byte[] body) {}

    /** Asks an engine for its report, and waits for the answer. */
    Answer get(ScriptedUpstream engine) throws Exception {
        UpstreamId id = new UpstreamId(engine.id(), UpstreamId.START_UNKNOWN);
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        loop.execute(
                () ->
                        client.get(
                                id,
                                engine.address(),
                                PATH,
                                (status, body) -> answer.complete(new Answer(status, body))));
        return answer.get(5, TimeUnit.SECONDS);
    }

    @Override
    public LimitRevision limitRevision(UpstreamId id) {
        return known.get();
    }

    @Override
    public void onLimit(UpstreamId id, double perSecond, LimitRevision basis) {
        bases.add(basis);
    }

    @Override
    public void onRest(UpstreamId id, Duration time) {
        throw new AssertionError("rest of " + id + ": " + time);
    }

    @Override
    public void onLeaving(UpstreamId id) {
        throw new AssertionError("leaving: " + id);
    }

    @Override
    public void onUnreachable(UpstreamId id, boolean refused) {
        throw new AssertionError("unreachable: " + id);
    }

    @Override
    public void close() throws Exception {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(Duration.ofSeconds(5).toMillis());
    }
}
