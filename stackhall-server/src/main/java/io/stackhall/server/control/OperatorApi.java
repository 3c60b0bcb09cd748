package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.stackhall.server.fleet.AnswerServer;
import java.util.function.Consumer;

/** An operator's calls about what this system has found out by itself. */
final class OperatorApi {

    private final EventLoop loop;
    private final RefusedRequestsApi sentences;
    private final LimitService limits;

    OperatorApi(EventLoop loop, RefusedRequestsApi sentences, LimitService limits) {
        this.loop = loop;
        this.sentences = sentences;
        this.limits = limits;
    }

    /** Returns whether a path is one of these calls. */
    static boolean handles(String path) {
        return path.equals(OperatorPaths.UPSTREAM_LIMITS) || RefusedRequestsApi.handles(path);
    }

    /**
     * Answers a call.
     *
     * @param body of a POST, who asks
     * @param answer told the outcome, on any thread
     */
    void handle(HttpMethod method, String path, byte[] body, Consumer<AnswerServer.Answer> answer) {
        if (path.equals(OperatorPaths.UPSTREAM_LIMITS)) {
            loop.execute(() -> answer.accept(RefusedRequestsApi.ok(limits.limitsJson())));
        } else {
            sentences.handle(method, path, body, answer);
        }
    }
}
