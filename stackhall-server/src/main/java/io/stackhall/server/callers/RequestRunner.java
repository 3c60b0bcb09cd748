package io.stackhall.server.callers;

import io.stackhall.core.admission.Arrival;
import io.stackhall.core.id.AttemptToken;
import io.stackhall.core.id.RequestId;
import io.stackhall.core.outcome.ClaimCommand;
import io.stackhall.core.outcome.ClaimKey;
import io.stackhall.core.outcome.ClaimResult;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.core.outcome.StoredAnswer;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.node.TrafficDriver;
import io.stackhall.server.settings.Settings;
import io.stackhall.server.upstreams.UpstreamClient;
import io.stackhall.server.upstreams.UpstreamRequest;
import java.io.IOException;
import java.util.Locale;

/** Runs an accepted request for a waiting caller, under a claim if it has an idempotency key. */
final class RequestRunner {

    private static final int RETRY_AFTER_SECONDS = 1;

    private final Settings settings;
    private final TrafficDriver traffic;
    private final UpstreamClient upstreams;
    private final ClaimClient claims;

    RequestRunner(
            Settings settings,
            TrafficDriver traffic,
            UpstreamClient upstreams,
            ClaimClient claims) {
        this.settings = settings;
        this.traffic = traffic;
        this.upstreams = upstreams;
        this.claims = claims;
    }

    /** Runs a request and answers it; returns whether it has run. */
    RequestOutcome run(AcceptedRequest request, ResponseSink response) throws IOException {
        if (request.key().isEmpty()) {
            return finish(execute(request, response.id(), response), response);
        }
        ClaimKey key = new ClaimKey(request.caller().id(), request.key().get());
        AttemptToken token = claims.newToken();
        String fingerprint = Digests.fingerprint(request.method(), request.path(), request.body());
        return switch (claims.claim(key, token, fingerprint)) {
            case ClaimResult.Granted() -> runClaimed(request, response, key, token);
            case ClaimResult.Replay(StoredAnswer answer) -> replay(answer, response);
            case ClaimResult.InProgress() ->
                    refuse(
                            response,
                            409,
                            "in_progress",
                            "an earlier attempt of this request has not ended",
                            new RequestOutcome.Unknown("in progress"));
            case ClaimResult.Uncertain(String reason) ->
                    refuse(
                            response,
                            503,
                            "outcome_unknown",
                            "whether this request has run is not known: " + reason,
                            new RequestOutcome.Unknown(reason));
            case ClaimResult.Conflict() ->
                    refuse(
                            response,
                            422,
                            "key_reused",
                            "the key was used for another request",
                            new RequestOutcome.NotRun("the key was used for another request"));
            case ClaimResult.Full() ->
                    refuse(
                            response,
                            503,
                            "claims_full",
                            "no further request with a key can be kept now",
                            new RequestOutcome.NotRun("claims are full"));
            case ClaimResult.Done() ->
                    throw new IllegalStateException("claim command returned Done");
            case ClaimResult.Stale() ->
                    throw new IllegalStateException("claim command returned Stale");
        };
    }

    /** Runs a request without a claim and writes its answer to a sink. */
    ExecutionResult execute(AcceptedRequest request, RequestId id, AnswerSink sink) {
        Arrival arrival =
                new Arrival(
                        id,
                        request.caller().id(),
                        request.target(),
                        request.caller().priority(),
                        BootClock.nanos() + request.timeoutNanos(),
                        request.prefix(),
                        request.repeatable(),
                        request.reach());
        UpstreamRequest upstreamRequest =
                new UpstreamRequest(
                        id,
                        request.method(),
                        request.path(),
                        request.headers(),
                        request.body(),
                        request.repeatable() && request.key().isEmpty());
        return new RequestExecution(
                        traffic,
                        upstreams,
                        arrival,
                        new OutgoingRequest(
                                upstreamRequest, Forwarding.headers(settings.host(), request)),
                        request.streamed(),
                        settings.limits().maxAnswerBytes(),
                        settings.timing().lateAnswer())
                .run(sink);
    }

    /** Runs a claimed request to its end even if its caller disconnects, and stores the answer. */
    private RequestOutcome runClaimed(
            AcceptedRequest request, ResponseSink response, ClaimKey key, AttemptToken token)
            throws IOException {
        AnswerRecorder recorder = new AnswerRecorder(response);
        ExecutionResult result;
        try {
            result = execute(request, response.id(), recorder);
        } catch (RuntimeException e) {
            claims.end(key, new ClaimCommand.Abandon(key, token));
            throw e;
        }
        claims.end(
                key,
                switch (result.outcome()) {
                    case RequestOutcome.Ran() ->
                            new ClaimCommand.Complete(key, token, recorder.answer());
                    case RequestOutcome.NotRun ignored -> new ClaimCommand.Release(key, token);
                    case RequestOutcome.Unknown ignored -> new ClaimCommand.Abandon(key, token);
                });
        return finish(result, response);
    }

    private static RequestOutcome finish(ExecutionResult result, ResponseSink response)
            throws IOException {
        switch (result) {
            case ExecutionResult.Answered ignored -> response.end();
            case ExecutionResult.CallerGone ignored -> {
                // Nothing can be answered any more.
            }
            case ExecutionResult.Incomplete(String reason, RequestOutcome outcome) -> {
                if (response.status() == 0) {
                    return refuse(response, 502, "answer_unusable", reason, outcome);
                }
                response.sendErrorEvent(reason, outcome);
                response.end();
            }
            case ExecutionResult.Refused givenUp -> refuseUnserved(givenUp, response);
        }
        return result.outcome();
    }

    private static void refuseUnserved(ExecutionResult.Refused givenUp, ResponseSink response)
            throws IOException {
        int status =
                switch (givenUp.refusal()) {
                    case QUEUE_FULL -> 429;
                    case DEADLINE, UNREACHABLE -> 503;
                    case FAILED -> givenUp.outcome() instanceof RequestOutcome.NotRun ? 503 : 502;
                };
        String message =
                switch (givenUp.refusal()) {
                    case QUEUE_FULL -> "too many requests wait";
                    case DEADLINE -> "it could not be answered within its deadline";
                    case UNREACHABLE -> "nothing that could serve it is reachable";
                    case FAILED -> "its attempts failed";
                };
        response.refuse(
                status,
                givenUp.refusal().name().toLowerCase(Locale.ROOT),
                message,
                givenUp.outcome(),
                givenUp.retryAfterSeconds());
        response.end();
    }

    private static RequestOutcome replay(StoredAnswer answer, ResponseSink response)
            throws IOException {
        response.setHeader("Stackhall-Replayed", "true");
        if (answer.complete()) {
            response.respond(answer.status(), answer.contentType(), answer.body());
            response.end();
            return new RequestOutcome.Ran();
        }
        return refuse(
                response,
                409,
                "already_ran",
                "the request has run; its answer was too large to keep",
                new RequestOutcome.Ran());
    }

    private static RequestOutcome refuse(
            ResponseSink response, int status, String code, String message, RequestOutcome outcome)
            throws IOException {
        response.refuse(status, code, message, outcome, RETRY_AFTER_SECONDS);
        response.end();
        return outcome;
    }
}
