package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.stackhall.core.dispatch.InFlightRequest;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.core.route.RouteKind;
import io.stackhall.platform.AnswerHeaders;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.CallListener;
import io.stackhall.server.relay.UpstreamCall;
import io.stackhall.server.settings.Address;

/** One attempt to run a request at one instance, which the dispatcher is notified of. */
final class UpstreamAttempt implements CallListener {

    private final Gateway gateway;
    private final Instance instance;
    private final boolean stream;
    private final AttemptListener listener;
    private final InFlightRequest inFlight;
    private final LimitRevision limitRevision;
    private final EventAssembler events = new EventAssembler();
    private UpstreamCall call;
    private HttpResponse head;
    private ByteBuf body;
    private boolean abandoned;
    private boolean firstEventSeen;
    private boolean written;

    /**
     * Creates an attempt, which the dispatcher counts as load of the instance from now on.
     *
     * @param kind whether a successful answer is an event stream
     */
    UpstreamAttempt(
            Gateway gateway,
            Instance instance,
            Need need,
            RouteKind kind,
            AttemptListener listener) {
        this.gateway = gateway;
        this.instance = instance;
        this.stream = kind == RouteKind.STREAM;
        this.listener = listener;
        this.inFlight = gateway.dispatcher().requestSent(instance.id(), need, BootClock.nanos());
        this.limitRevision = gateway.upstreamLimits().recordSent(instance.id());
    }

    void start(FullHttpRequest request, String requestId) {
        call =
                gateway.upstreams()
                        .send(Address.parse(instance.address()), request, requestId, this);
    }

    /** Ends the attempt and cancels its call if that is still in progress. */
    void abandon() {
        abandoned = true;
        leavePath();
        gateway.dispatcher().requestEnded(inFlight, BootClock.nanos());
        if (call != null) {
            call.cancel();
        }
    }

    /** Stops or resumes reading the answer. */
    void setReading(boolean wanted) {
        if (call != null) {
            call.reading(wanted);
        }
    }

    Instance instance() {
        return instance;
    }

    @Override
    public boolean sending() {
        // Checked again: connecting may take time, and the instance may drain or rest by now.
        long now = BootClock.nanos();
        inFlight.recordDelayBeforeWrite(
                gateway.loopDelay().unnoticedNanos(inFlight.startedAt(), now));
        written = gateway.dispatcher().mayWrite(instance.id(), now) && listener.onSending();
        if (written) {
            gateway.paths().sent(instance.id());
        }
        return written;
    }

    private void leavePath() {
        if (written) {
            written = false;
            gateway.paths().ended(instance.id());
        }
    }

    @Override
    public void answered(HttpResponse answer) {
        head = answer;
        long now = BootClock.nanos();
        gateway.paths().heard(instance.id(), inFlight.startedAt());
        gateway.upstreamAnnouncements().receive(instance.id(), answer, limitRevision);
        AnswerHeaders.load(answer.headers()::get)
                .ifPresent(
                        load ->
                                gateway.dispatcher()
                                        .updateReportedLoad(
                                                instance.id(),
                                                load.running() + load.waiting(),
                                                load.slowdown(),
                                                now));
        boolean success = answer.status().codeClass() == HttpStatusClass.SUCCESS;
        if (!success) {
            gateway.dispatcher().errorResponseStarted(inFlight, !Answers.reportsNotRun(answer));
        } else if (!stream) {
            gateway.dispatcher().responseStarted(inFlight, now);
        }
        if (!success || !stream) {
            body = Unpooled.buffer();
        }
    }

    @Override
    public void received(ByteBuf part) {
        gateway.paths().heard(instance.id(), inFlight.startedAt());
        if (body != null) {
            body.writeBytes(part);
            return;
        }
        events.add(part);
        EventAssembler.Event event = events.next();
        while (event != null && !abandoned) {
            gateway.dispatcher().responseStarted(inFlight, BootClock.nanos());
            if (!firstEventSeen) {
                firstEventSeen = true;
                gateway.promptProcessed();
            }
            listener.onEvent(head, event);
            event = events.next();
        }
    }

    @Override
    public void completed() {
        leavePath();
        gateway.dispatcher().requestEnded(inFlight, BootClock.nanos());
        if (body != null) {
            listener.onAnswer(head, body);
        } else {
            gateway.dispatcher().requestSucceeded(instance.id());
            listener.onStreamEnd(head, events.remaining());
        }
    }

    @Override
    public void failed(CallFailure failure) {
        long now = BootClock.nanos();
        leavePath();
        if (head == null && failure.stage() != CallFailure.Stage.WITHDRAWN) {
            gateway.paths().failed(instance.id(), failure.stage());
        }
        if (failure.sent()) {
            gateway.dispatcher().requestEnded(inFlight, now);
        } else {
            gateway.dispatcher().requestNotWritten(inFlight, now);
        }
        if (failure.stage() != CallFailure.Stage.WITHDRAWN) {
            gateway.dispatcher().connectionFailed(instance.id(), now);
        }
        listener.onFailure(failure);
    }
}
