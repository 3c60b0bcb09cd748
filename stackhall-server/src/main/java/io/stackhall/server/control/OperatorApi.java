package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.stackhall.server.fleet.SimpleHttpServer;
import java.util.function.Consumer;

/** Handles the calls of operators under {@link OperatorPaths}. */
final class OperatorApi {

    private final EventLoop loop;
    private final RefusedRequestsApi sentences;
    private final LimitService limits;

    OperatorApi(EventLoop loop, RefusedRequestsApi sentences, LimitService limits) {
        this.loop = loop;
        this.sentences = sentences;
        this.limits = limits;
    }

    /** Returns whether this API handles a path. */
    static boolean handles(String path) {
        return path.equals(OperatorPaths.UPSTREAM_LIMITS) || RefusedRequestsApi.handles(path);
    }

    /**
     * Answers a call.
     *
     * @param body for a POST, the name of the operator
     * @param answer called with the answer, on any thread
     */
    void handle(
            HttpMethod method,
            String path,
            byte[] body,
            Consumer<SimpleHttpServer.Response> answer) {
        if (path.equals(OperatorPaths.UPSTREAM_LIMITS)) {
            loop.execute(() -> answer.accept(RefusedRequestsApi.ok(limits.limitsJson())));
        } else {
            sentences.handle(method, path, body, answer);
        }
    }
}
