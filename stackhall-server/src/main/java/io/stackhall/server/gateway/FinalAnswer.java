package io.stackhall.server.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.stackhall.core.dispatch.Need;
import io.stackhall.server.gateway.RequestRights.Right;
import java.time.Duration;

/**
 * The last word of this system's own on one request, to its caller and to the log.
 *
 * <p>What it may say depends on how far the request came: until a byte of it was written to an
 * upstream, or after the upstream itself has said so, it has not run and may be refused. After that
 * it may have run, and its caller is told that the outcome is unknown.
 */
final class FinalAnswer {

    static final Duration SHORT_RETRY_DELAY = Duration.ofMillis(300);
    static final String INTERRUPTED = "the instance broke off";

    private final Gateway gateway;
    private final CallerRequest request;
    private final AnswerWriter answers;
    private final RequestLog log;
    private final AttemptHistory history;
    private final StreamedAnswer stream;
    private final Runnable close;
    private Need need;

    /**
     * Creates the end of a request.
     *
     * @param close ends all work on the request
     */
    FinalAnswer(
            Gateway gateway,
            CallerRequest request,
            AnswerWriter answers,
            RequestLog log,
            AttemptHistory history,
            StreamedAnswer stream,
            Runnable close) {
        this.gateway = gateway;
        this.request = request;
        this.answers = answers;
        this.log = log;
        this.history = history;
        this.stream = stream;
        this.close = close;
    }

    /** Notes what the request needs of an instance. */
    void setNeed(Need known) {
        need = known;
    }

    /** Ends a request that waited in vain. */
    void giveUp(String reason, Duration retryAfter) {
        if (stream.begun()) {
            abort(reason);
        } else if (history.mayHaveRun()) {
            fail(HttpResponseStatus.BAD_GATEWAY, "the outcome is unknown: " + reason);
        } else {
            refuse(reason, retryAfter);
        }
    }

    /** Ends a request that its caller may not have run, or not now. */
    void deny(Right.Refused refused) {
        if (stream.begun() || history.mayHaveRun()) {
            giveUp(refused.reason(), SHORT_RETRY_DELAY);
        } else if (refused.retryAfter().isPresent()) {
            refuse(refused.status(), refused.reason(), refused.retryAfter().get());
        } else {
            fail(refused.status(), refused.reason());
        }
    }

    /** Ends a request whose caller waits no longer. */
    void timeOut() {
        if (stream.begun()) {
            abort("its time has passed");
        } else if (history.sendCount() == 0) {
            refuse("its time has passed", SHORT_RETRY_DELAY);
        } else {
            fail(HttpResponseStatus.GATEWAY_TIMEOUT, "no answer came in time");
        }
    }

    /** Ends a request that its instance broke off. */
    void failInterrupted() {
        if (stream.begun()) {
            abort(INTERRUPTED);
        } else {
            fail(HttpResponseStatus.BAD_GATEWAY, INTERRUPTED);
        }
    }

    /** Says that the request has not run, and when it is worth another try. */
    void refuse(String reason, Duration retryAfter) {
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfter);
    }

    private void refuse(HttpResponseStatus status, String reason, Duration retryAfter) {
        long version = gateway.hasRoutes() ? gateway.routes().version() : -1;
        log.refused(need, reason, retryAfter, history.sendCount(), version);
        close.run();
        answers.answer(Answers.refusal(status, reason, request.id(), retryAfter));
    }

    /** Says that the request has failed, and promises nothing. */
    void fail(HttpResponseStatus status, String reason) {
        log.failed(status.code(), reason, history.sendCount());
        close.run();
        answers.answer(Answers.failure(status, reason, request.id()));
    }

    /** Ends an answer that has begun, so that its caller sees that it is not whole. */
    private void abort(String reason) {
        log.aborted(reason, stream.lastEvent(), history.sendCount());
        close.run();
        answers.abort();
    }
}
