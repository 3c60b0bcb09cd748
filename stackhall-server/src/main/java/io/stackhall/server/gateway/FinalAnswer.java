package io.stackhall.server.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.stackhall.core.dispatch.Need;
import io.stackhall.server.gateway.RequestAuthorization.Decision;
import java.time.Duration;

/**
 * Ends one request with an answer that does not come from an upstream, and logs it.
 *
 * <p>The answer depends on how far the request got. A request of which no byte was written to an
 * upstream, or whose upstream has reported that it did not run it, has not run and may be refused.
 * Any other request may have run, and its caller is told that the outcome is unknown.
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
     * Creates the final answer of a request.
     *
     * @param close ends all processing of the request
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

    /** Sets what the request needs of an instance, for the log. */
    void setNeed(Need known) {
        need = known;
    }

    /** Ends a request that has waited without success. */
    void giveUp(String reason, Duration retryAfter) {
        if (stream.hasBegun()) {
            abort(reason);
        } else if (history.mayHaveRun()) {
            fail(HttpResponseStatus.BAD_GATEWAY, "the outcome is unknown: " + reason);
        } else {
            refuse(reason, retryAfter);
        }
    }

    /** Ends a request that its caller has no right to run, or not at this time. */
    void deny(Decision.Refused refused) {
        if (stream.hasBegun() || history.mayHaveRun()) {
            giveUp(refused.reason(), SHORT_RETRY_DELAY);
        } else if (refused.retryAfter().isPresent()) {
            refuse(refused.status(), refused.reason(), refused.retryAfter().get());
        } else {
            deny(refused.status(), refused.reason());
        }
    }

    /**
     * Ends a request that its caller has no right to run, or not at this time, unless the
     * configuration that does not allow it may be outdated.
     *
     * @param reconsider has the request considered again, once a quorum has answered
     */
    void denyIfConfirmed(Decision.Refused refused, Runnable reconsider) {
        if (refused.retryAfter().isPresent()) {
            deny(refused);
        } else {
            denyIfConfirmed(refused.status(), refused.reason(), reconsider);
        }
    }

    /**
     * Denies a request, unless the configuration that does not allow it may be outdated.
     *
     * @param reconsider has the request considered again, once a quorum has answered
     */
    void denyIfConfirmed(HttpResponseStatus status, String reason, Runnable reconsider) {
        if (gateway.isClosing()) {
            refuse("this host is about to stop", Duration.ZERO);
            return;
        }
        gateway.denials()
                .decide(
                        new Denials.Outcome() {
                            @Override
                            public void deny() {
                                FinalAnswer.this.deny(status, reason);
                            }

                            @Override
                            public void refuse(Duration retryAfter) {
                                FinalAnswer.this.refuse(
                                        "no quorum has confirmed the configuration", retryAfter);
                            }

                            @Override
                            public void reconsider() {
                                reconsider.run();
                            }
                        });
    }

    /** Answers that the active configuration does not allow the request. */
    private void deny(HttpResponseStatus status, String reason) {
        log.denied(status.code(), reason, request, gateway.denials().standing());
        close.run();
        answers.writeAnswer(Answers.failure(status, reason, request.id()));
    }

    /** Ends a request whose deadline has passed. */
    void timeOut() {
        if (stream.hasBegun()) {
            abort("its time has passed");
        } else if (history.sendCount() == 0) {
            refuse("its time has passed", SHORT_RETRY_DELAY);
        } else {
            fail(HttpResponseStatus.GATEWAY_TIMEOUT, "no answer came in time");
        }
    }

    /** Ends a request that its instance has interrupted. */
    void failInterrupted() {
        if (stream.hasBegun()) {
            abort(INTERRUPTED);
        } else {
            fail(HttpResponseStatus.BAD_GATEWAY, INTERRUPTED);
        }
    }

    /** Answers that the request has not run, and after which time a retry makes sense. */
    void refuse(String reason, Duration retryAfter) {
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfter);
    }

    private void refuse(HttpResponseStatus status, String reason, Duration retryAfter) {
        long version = gateway.hasRoutes() ? gateway.routes().version() : -1;
        log.refused(need, reason, retryAfter, history.sendCount(), version);
        close.run();
        answers.writeAnswer(Answers.refusal(status, reason, request.id(), retryAfter));
    }

    /** Answers that the request has failed, with no promise that it has not run. */
    void fail(HttpResponseStatus status, String reason) {
        log.failed(status.code(), reason, history.sendCount());
        close.run();
        answers.writeAnswer(Answers.failure(status, reason, request.id()));
    }

    /** Aborts an answer that has begun, so that the caller can see that it is incomplete. */
    private void abort(String reason) {
        log.aborted(reason, stream.lastEventId(), history.sendCount());
        close.run();
        answers.abort();
    }
}
