package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.stackhall.core.quarantine.CrashCause;
import io.stackhall.server.fleet.SimpleHttpServer;
import io.stackhall.server.group.CommandOutcome;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Handles the calls of operators about requests, and parts of prompts, that are refused because
 * they crash instances: GET lists them, and a POST to one of them lifts its refusal.
 */
final class RefusedRequestsApi {

    private static final String ALL = OperatorPaths.REFUSED_REQUESTS;
    private static final String ONE = OperatorPaths.refusedRequest("");
    private static final int MAX_OPERATOR_NAME_CHARACTERS = 100;

    private final EventLoop loop;
    private final CrashTracker crashes;

    RefusedRequestsApi(EventLoop loop, CrashTracker crashes) {
        this.loop = loop;
        this.crashes = crashes;
    }

    /** Returns whether this API handles a path. */
    static boolean handles(String path) {
        return path.equals(ALL) || path.startsWith(ONE);
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
        if (path.equals(ALL)) {
            loop.execute(() -> answer.accept(ok(crashes.refusedRequestsJson())));
            return;
        }
        String operator = new String(body, StandardCharsets.UTF_8).strip();
        String digest = path.substring(ONE.length());
        if (!method.equals(HttpMethod.POST) || !CrashCause.isDigest(digest)) {
            answer.accept(answer(HttpResponseStatus.NOT_FOUND));
        } else if (operator.isEmpty() || operator.length() > MAX_OPERATOR_NAME_CHARACTERS) {
            answer.accept(answer(HttpResponseStatus.BAD_REQUEST));
        } else {
            loop.execute(
                    () ->
                            crashes.lift(
                                    digest, operator, outcome -> answer.accept(answer(outcome))));
        }
    }

    private static SimpleHttpServer.Response answer(CommandOutcome outcome) {
        return outcome instanceof CommandOutcome.Done
                ? ok("{}".getBytes(StandardCharsets.US_ASCII))
                : answer(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    static SimpleHttpServer.Response ok(byte[] body) {
        return new SimpleHttpServer.Response(HttpResponseStatus.OK.code(), body);
    }

    private static SimpleHttpServer.Response answer(HttpResponseStatus status) {
        return new SimpleHttpServer.Response(
                status.code(),
                ("{\"message\":\"" + status.reasonPhrase() + "\"}")
                        .getBytes(StandardCharsets.US_ASCII));
    }
}
