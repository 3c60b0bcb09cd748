package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.stackhall.server.fleet.SimpleHttpServer;
import java.util.function.Consumer;

/** An operator's calls about what this system has found out by itself. */
final class OperatorCalls {

    private final EventLoop loop;
    private final SentenceCalls sentences;
    private final LimitDesk limits;

    OperatorCalls(EventLoop loop, SentenceCalls sentences, LimitDesk limits) {
        this.loop = loop;
        this.sentences = sentences;
        this.limits = limits;
    }

    /** Returns whether a path is one of these calls. */
    static boolean names(String path) {
        return path.equals(OperatorPaths.UPSTREAM_LIMITS) || SentenceCalls.names(path);
    }

    /**
     * Answers a call.
     *
     * @param body of a POST, who asks
     * @param answer told the outcome, on any thread
     */
    void call(
            HttpMethod method,
            String path,
            byte[] body,
            Consumer<SimpleHttpServer.Response> answer) {
        if (path.equals(OperatorPaths.UPSTREAM_LIMITS)) {
            loop.execute(() -> answer.accept(SentenceCalls.ok(limits.listed())));
        } else {
            sentences.call(method, path, body, answer);
        }
    }
}
