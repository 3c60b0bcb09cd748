package io.stackhall.server.callers;

import io.stackhall.core.admission.Arrival;
import io.stackhall.core.outcome.RequestOutcome;
import io.stackhall.core.routing.AttemptResult;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.node.TrafficDriver;
import io.stackhall.server.upstreams.UpstreamCall;
import io.stackhall.server.upstreams.UpstreamClient;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Executes one request: waits for its admission, sends it to upstreams until an attempt succeeds or
 * the request is refused, and forwards the answer. Must run on a virtual thread: writes to a slow
 * caller block it, which also applies back pressure to the upstream.
 */
final class RequestExecution {

    private static final Logger logger = LogManager.getLogger(RequestExecution.class);

    private static final int BUFFER_BYTES = 8192;
    private static final int SERVER_ERROR = 500;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TrafficDriver traffic;
    private final UpstreamClient upstreams;
    private final Arrival arrival;
    private final OutgoingRequest request;
    private final boolean streamed;
    private final int maxAnswerBytes;
    private final Duration lateAnswer;

    /**
     * Creates the execution of a request.
     *
     * @param streamed whether the answer is a stream of events with an end marker
     * @param maxAnswerBytes the largest answer that is not streamed, in bytes
     * @param lateAnswer how long past the deadline to wait for the answer of a running attempt
     */
    RequestExecution(
            TrafficDriver traffic,
            UpstreamClient upstreams,
            Arrival arrival,
            OutgoingRequest request,
            boolean streamed,
            int maxAnswerBytes,
            Duration lateAnswer) {
        this.traffic = traffic;
        this.upstreams = upstreams;
        this.arrival = arrival;
        this.request = request;
        this.streamed = streamed;
        this.maxAnswerBytes = maxAnswerBytes;
        this.lateAnswer = lateAnswer;
    }

    /** Blocks until the request has ended, and returns how it ended. */
    ExecutionResult run(AnswerSink sink) {
        CompletableFuture<TrafficDriver.Decision> decision = traffic.submit(arrival);
        while (true) {
            switch (await(decision)) {
                case TrafficDriver.Decision.GiveUp giveUp -> {
                    return new ExecutionResult.Refused(
                            giveUp.refusal(), giveUp.outcome(), giveUp.retryAfterSeconds());
                }
                case TrafficDriver.Decision.Send send -> {
                    Attempt attempt = attempt(send, sink);
                    switch (attempt) {
                        case Attempt.Ended(ExecutionResult result) -> {
                            return result;
                        }
                        case Attempt.Failed(AttemptResult attemptResult, RequestOutcome outcome) ->
                                decision =
                                        traffic.recordFailure(arrival.id(), attemptResult, outcome);
                    }
                }
            }
        }
    }

    /** The result of one attempt. */
    private sealed interface Attempt {
        /** The request has ended; there is no further attempt. */
        record Ended(ExecutionResult result) implements Attempt {}

        /** Nothing has been sent to the caller, so that the request may be tried again. */
        record Failed(AttemptResult attemptResult, RequestOutcome outcome) implements Attempt {}
    }

    private Attempt attempt(TrafficDriver.Decision.Send send, AnswerSink sink) {
        String address = send.address();
        UpstreamCall call =
                upstreams.call(address, request.forUpstream(send.upstream(), remainingMillis()));
        return switch (call.open(openTimeoutMillis())) {
            case UpstreamCall.Opening.NotSent(String reason) ->
                    new Attempt.Failed(AttemptResult.FAILED, new RequestOutcome.NotRun(reason));
            case UpstreamCall.Opening.Declined() ->
                    new Attempt.Failed(
                            AttemptResult.OVERLOADED,
                            new RequestOutcome.NotRun("the upstream declined it"));
            case UpstreamCall.Opening.Unanswered(String reason) -> {
                logger.info("attempt.unanswered request={} {}", arrival.id(), reason);
                yield new Attempt.Failed(AttemptResult.FAILED, new RequestOutcome.Unknown(reason));
            }
            case UpstreamCall.Opening.Begun begun -> deliver(call, address, begun, sink);
        };
    }

    private Attempt deliver(
            UpstreamCall call, String address, UpstreamCall.Opening.Begun begun, AnswerSink sink) {
        boolean eventStream = streamed && begun.contentType().startsWith("text/event-stream");
        try {
            return eventStream ? stream(call, address, begun, sink) : plain(begun, sink);
        } catch (CallerGoneException e) {
            call.abort("the caller has gone");
            traffic.withdraw(arrival.id());
            RequestOutcome outcome = new RequestOutcome.Unknown("the caller has gone");
            return new Attempt.Ended(new ExecutionResult.CallerGone(outcome));
        }
    }

    /** Reads an answer completely before forwarding any of it, so that a failure can be retried. */
    private Attempt plain(UpstreamCall.Opening.Begun begun, AnswerSink sink)
            throws CallerGoneException {
        byte[] body;
        try (InputStream in = begun.body()) {
            body = in.readNBytes(maxAnswerBytes + 1);
        } catch (IOException e) {
            String reason = "the answer was cut short: " + e.getMessage();
            return new Attempt.Failed(AttemptResult.FAILED, new RequestOutcome.Unknown(reason));
        }
        if (body.length > maxAnswerBytes) {
            return incomplete("the answer is larger than " + maxAnswerBytes + " bytes");
        }
        toCaller(() -> sink.respond(begun.status(), begun.contentType(), body));
        AttemptResult attemptResult =
                begun.status() >= SERVER_ERROR ? AttemptResult.FAILED : AttemptResult.SERVED;
        return answered(begun.status(), attemptResult);
    }

    private Attempt stream(
            UpstreamCall call, String address, UpstreamCall.Opening.Begun begun, AnswerSink sink)
            throws CallerGoneException {
        toCaller(() -> sink.begin(begun.status(), begun.contentType()));
        EventStreamTail tail = new EventStreamTail();
        InputStream body = begun.body();
        StreamResumer resumer = new StreamResumer(upstreams, address, begun.stream(), arrival.id());
        while (true) {
            boolean ended = copy(body, tail, sink);
            if (ended && tail.isComplete()) {
                return answered(begun.status(), AttemptResult.SERVED);
            }
            InputStream rest = resumer.resumeFrom(tail.length());
            if (rest == null) {
                call.abort("the stream is broken");
                return incomplete("the upstream's stream broke off");
            }
            body = rest;
        }
    }

    /** Copies the stream; returns true at its end, or false if reading from the upstream failed. */
    private static boolean copy(InputStream body, EventStreamTail tail, AnswerSink sink)
            throws CallerGoneException {
        byte[] buffer = new byte[BUFFER_BYTES];
        while (true) {
            int length;
            try {
                length = body.read(buffer);
            } catch (IOException e) {
                return false;
            }
            if (length < 0) {
                return true;
            }
            tail.add(buffer, length);
            int count = length;
            toCaller(() -> sink.write(buffer, count));
        }
    }

    private Attempt answered(int status, AttemptResult attemptResult) {
        RequestOutcome outcome = new RequestOutcome.Ran();
        traffic.recordCompletion(arrival.id(), attemptResult, outcome);
        return new Attempt.Ended(new ExecutionResult.Answered(status, outcome));
    }

    private Attempt incomplete(String reason) {
        RequestOutcome outcome = new RequestOutcome.Unknown(reason);
        traffic.recordCompletion(arrival.id(), AttemptResult.FAILED, outcome);
        return new Attempt.Ended(new ExecutionResult.Incomplete(reason, outcome));
    }

    private long remainingMillis() {
        return Math.max(1, (arrival.deadline() - BootClock.nanos()) / NANOS_PER_MILLI);
    }

    /**
     * Waits past the deadline for a limited time: for a request that an upstream runs, a late
     * answer is better than an unknown outcome.
     */
    private long openTimeoutMillis() {
        return remainingMillis() + lateAnswer.toMillis();
    }

    private static TrafficDriver.Decision await(
            CompletableFuture<TrafficDriver.Decision> decision) {
        try {
            return decision.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while a request waited", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private static void toCaller(CallerWrite write) throws CallerGoneException {
        try {
            write.run();
        } catch (IOException e) {
            throw new CallerGoneException(e);
        }
    }

    /** Writes to the caller. */
    @FunctionalInterface
    private interface CallerWrite {
        void run() throws IOException;
    }

    /** The caller has disconnected. */
    private static final class CallerGoneException extends Exception {
        private static final long serialVersionUID = 1L;

        CallerGoneException(IOException cause) {
            super(cause);
        }
    }
}
