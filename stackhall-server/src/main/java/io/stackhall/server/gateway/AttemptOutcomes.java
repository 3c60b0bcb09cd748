package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.ConnectionUse;
import io.stackhall.server.relay.ForeignAnswer;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Decides how one request goes on after what its attempts have come to. */
final class AttemptOutcomes implements AttemptListener {

    private static final String OTHER_PATH = "the instance is not reached on this path";
    private static final String UNREACHABLE = "the instance cannot be reached";

    private final Gateway gateway;
    private final RelayedRequest request;
    private final AnswerWriter answers;
    private final RequestLog log;
    private final AttemptHistory history;
    private final StreamedAnswer stream;
    private final FinalAnswer finalAnswer;

    AttemptOutcomes(
            Gateway gateway,
            RelayedRequest request,
            AnswerWriter answers,
            RequestLog log,
            AttemptHistory history,
            StreamedAnswer stream,
            FinalAnswer finalAnswer) {
        this.gateway = gateway;
        this.request = request;
        this.answers = answers;
        this.log = log;
        this.history = history;
        this.stream = stream;
        this.finalAnswer = finalAnswer;
    }

    @Override
    public boolean onSending() {
        boolean connected = answers.checkConnected();
        if (connected) {
            history.recordSent(request.attemptedInstance().id());
            request.recordWritten();
        }
        return connected;
    }

    @Override
    public void onPassedOver(ForeignAnswer answer) {
        log.attempts().passedOver(request.attemptedInstance(), answer);
    }

    @Override
    public void onBegin(ConnectionUse use) {
        log.attempts().answerBegun(use);
    }

    @Override
    public void onEvent(HttpResponse head, EventAssembler.Event event) {
        gateway.quarantine().answerReceived(request);
        request.eventReceived();
        stream.forwardEvent(head, event);
    }

    @Override
    public void onStreamEnd(HttpResponse head, ByteBuf rest, AnswerEnd end) {
        log.answered(head.status().code(), end, stream.lastEventId(), history.sendCount());
        Instance instance = request.endAttempt();
        gateway.dispatcher().requestSucceeded(instance.id());
        recordServed(head, instance, end);
        stream.forwardBytes(head, rest);
        request.close();
        answers.end();
    }

    private void recordServed(HttpResponse head, Instance instance, AnswerEnd end) {
        if (head.status().codeClass() == HttpStatusClass.SUCCESS) {
            gateway.quarantine().requestServed(request.exposure(), instance, end.framing());
        }
    }

    @Override
    public void onPart(HttpResponse head, ByteBuf bytes) {
        stream.forwardBytes(head, bytes);
    }

    @Override
    public void onAnswer(HttpResponse head, ByteBuf body, AnswerEnd end) {
        Instance instance = request.endAttempt();
        if (Answers.reportsNotRun(head)) {
            handleNotRun(instance, head);
            return;
        }
        log.answered(head.status().code(), end, stream.lastEventId(), history.sendCount());
        recordServed(head, instance, end);
        history.recordMayHaveRun();
        boolean failed = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (failed) {
            gateway.dispatcher().requestFailed(instance.id());
        } else {
            gateway.dispatcher().requestSucceeded(instance.id());
        }
        if (stream.hasBegun()) {
            resumeOrFail(instance);
        } else if (failed && mayContinue()) {
            tryNextInstance(instance, "the instance failed");
        } else if (Answers.impliesNotRun(head.status())) {
            finalAnswer.fail(
                    HttpResponseStatus.BAD_GATEWAY, "the instance gave up, and may have run it");
        } else {
            request.close();
            answers.writeAnswer(Answers.full(request.method(), head, body));
        }
    }

    @Override
    public void onPathLost(BooleanSupplier stillLost) {
        if (mayContinue()) {
            request.instanceNow()
                    .ifPresent(
                            instance ->
                                    gateway.pathProber()
                                            .openTunnel(instance, () -> changePath(stillLost)));
        }
    }

    /** An answer that may still come is given up only once there is another path. */
    private void changePath(BooleanSupplier stillLost) {
        if (stillLost.getAsBoolean() && mayContinue() && request.acquireResend()) {
            history.recordMayHaveRun();
            request.abandonAttempt();
            request.requeue("this host has lost its paths");
        }
    }

    @Override
    public void onFailure(CallFailure failure, Optional<HostId> tunnel) {
        Instance instance = request.endAttempt();
        if (failure.stage() == CallFailure.Stage.WITHDRAWN && !answers.checkConnected()) {
            request.callerDisconnected();
            return;
        }
        log.attempts().failed(instance, failure, tunnel, stream.lastEventId());
        if (failure.stage() == CallFailure.Stage.WITHDRAWN) {
            request.requeue("the instance wants nothing any more");
        } else if (failure.sent()) {
            interrupted(instance, failure.stage());
        } else {
            notReached(instance, failure, tunnel);
        }
    }

    private void notReached(Instance instance, CallFailure failure, Optional<HostId> tunnel) {
        if (tunnel.isPresent()) {
            notReachedThroughTunnel(instance, failure, tunnel.get());
            return;
        }
        if (failure.unconnected()) {
            gateway.pathProber().reportUnreached(instance, failure.stage());
        }
        if (failure.unconnected() && gateway.paths().hasTunnelTo(instance.id())) {
            request.requeue(OTHER_PATH);
        } else {
            tryNextInstance(instance, UNREACHABLE);
        }
    }

    /**
     * Tries another tunnel, or another instance if that was the last one or the instance is to
     * blame.
     */
    private void notReachedThroughTunnel(Instance instance, CallFailure failure, HostId host) {
        gateway.paths().tunnelFailed(host, instance, failure.stage());
        // A host that is just being cut off itself may not know it yet.
        boolean doubted =
                failure.stage() == CallFailure.Stage.NO_CONNECTION && gateway.paths().isCutOff();
        if (failure.unconnected() && !doubted) {
            gateway.notices().notifyUnreachable(instance, failure.stage());
            tryNextInstance(instance, UNREACHABLE);
        } else if (history.tryAcquireTunnelRetry()) {
            request.requeue(OTHER_PATH);
        } else {
            tryNextInstance(instance, UNREACHABLE);
        }
    }

    private void interrupted(Instance instance, CallFailure.Stage stage) {
        history.recordMayHaveRun();
        if (!mayContinue()) {
            finalAnswer.failInterrupted();
        }
        gateway.quarantine()
                .attemptInterrupted(
                        request.exposure(),
                        instance,
                        stage == CallFailure.Stage.ENDED_BY_UPSTREAM,
                        () -> tryNextInstance(instance, FinalAnswer.INTERRUPTED));
    }

    private boolean mayContinue() {
        return request.mayGoOnElsewhere()
                && history.mayContinue(stream.hasBegun(), stream.lastEventId().isPresent());
    }

    private void tryNextInstance(Instance instance, String reason) {
        if (!request.isEnded()) {
            history.exclude(instance.id());
            request.requeue(reason);
        }
    }

    private void handleNotRun(Instance instance, HttpResponse head) {
        log.attempts().notRun(instance, head.status().code());
        history.recordNotRun(instance.id());
        boolean resting = gateway.dispatcher().isResting(instance.id(), BootClock.nanos());
        if (!resting) {
            gateway.dispatcher().requestRejected(instance.id(), request.need(), BootClock.nanos());
        }
        boolean retryForAdapter =
                request.need().adapter().isPresent() && history.tryAcquireAdapterRetry();
        if (stream.hasBegun()) {
            resumeOrFail(instance);
        } else if (resting) {
            request.requeue("the instance wants rest");
        } else if (retryForAdapter) {
            request.requeue("its adapter is on its way");
        } else {
            tryNextInstance(instance, "the instance did not run it");
        }
    }

    private void resumeOrFail(Instance instance) {
        if (mayContinue()) {
            tryNextInstance(instance, FinalAnswer.INTERRUPTED);
        } else {
            finalAnswer.failInterrupted();
        }
    }
}
