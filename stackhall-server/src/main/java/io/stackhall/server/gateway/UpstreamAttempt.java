package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.answer.BodyFraming;
import io.stackhall.core.dispatch.InFlightRequest;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.core.route.RouteKind;
import io.stackhall.platform.AnswerHeaders;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.CallListener;
import io.stackhall.server.relay.UpstreamCall;
import io.stackhall.server.relay.UpstreamRoute;
import io.stackhall.server.settings.Address;
import io.stackhall.server.tunnel.TunnelRoute;
import java.util.Optional;

/** One attempt to run a request at one instance, which the dispatcher is notified of. */
final class UpstreamAttempt implements CallListener {

    /** A longer answer is passed on as it comes: a host holds the answers of many requests. */
    private static final int MAX_HELD_BYTES = 256 << 10;

    /** An event that does not end would fill the memory of its host. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final Gateway gateway;
    private final Instance instance;
    private final boolean stream;
    private final boolean resuming;
    private final AttemptListener listener;
    private final Optional<HostId> tunnel;
    private final InFlightRequest inFlight;
    private final LimitRevision limitRevision;
    private final EventAssembler events = new EventAssembler();
    private UpstreamCall call;
    private HttpResponse head;
    private ByteBuf body;
    private boolean passingOn;
    private boolean abandoned;
    private boolean firstEventSeen;
    private boolean left;

    /**
     * Creates an attempt, which the dispatcher counts as load of the instance from now on.
     *
     * @param kind whether a successful answer is an event stream
     * @param resuming whether it goes on with a stream of which the caller has events
     */
    UpstreamAttempt(
            Gateway gateway,
            Instance instance,
            Need need,
            RouteKind kind,
            boolean resuming,
            AttemptListener listener) {
        this.gateway = gateway;
        this.instance = instance;
        this.stream = kind == RouteKind.STREAM;
        this.resuming = resuming;
        this.listener = listener;
        this.tunnel = gateway.paths().tunnelTo(instance.id());
        this.inFlight = gateway.dispatcher().requestSent(instance.id(), need, BootClock.nanos());
        this.limitRevision = gateway.upstreamLimits().recordSent(instance.id());
    }

    void start(FullHttpRequest request, String requestId) {
        tunnel.ifPresent(gateway.paths()::tunnelOpened);
        UpstreamRoute route =
                new UpstreamRoute(
                        Address.parse(instance.address()),
                        tunnel.map(host -> new TunnelRoute(host, instance.id())));
        call = gateway.upstreams().send(route, request, requestId, this);
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

    /** Returns whether the answer has begun. */
    boolean isAnswered() {
        return head != null;
    }

    @Override
    public boolean sending() {
        // Checked again: connecting may take time, and the instance may drain or rest by now.
        long now = BootClock.nanos();
        inFlight.recordDelayBeforeWrite(
                gateway.loopDelay().unnoticedNanos(inFlight.startedAt(), now));
        boolean written = gateway.dispatcher().mayWrite(instance.id(), now) && listener.onSending();
        if (written && tunnel.isEmpty()) {
            gateway.paths().sent(this);
        }
        return written;
    }

    /**
     * Called when this host reaches no upstream any more. An attempt whose answer may still come
     * does not count as work of the instance from now on.
     */
    void pathLost() {
        gateway.paths().ended(this);
        gateway.dispatcher().requestEnded(inFlight, BootClock.nanos());
        listener.onPathLost();
    }

    private void leavePath() {
        if (left) {
            return;
        }
        left = true;
        gateway.paths().ended(this);
        tunnel.ifPresent(gateway.paths()::tunnelClosed);
    }

    private void heard() {
        if (tunnel.isEmpty()) {
            gateway.paths().heard(instance.id(), inFlight.startedAt());
        }
    }

    @Override
    public void answered(HttpResponse answer) {
        head = answer;
        long now = BootClock.nanos();
        heard();
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
        boolean inEvents = success && stream && Answers.isEventStream(answer);
        if (!success) {
            gateway.dispatcher().errorResponseStarted(inFlight, !Answers.reportsNotRun(answer));
        } else if (!inEvents) {
            gateway.dispatcher().responseStarted(inFlight, now);
        }
        if (!inEvents) {
            body = Unpooled.buffer();
        }
    }

    @Override
    public void received(ByteBuf part) {
        heard();
        if (passingOn) {
            listener.onPart(head, part.retain());
        } else if (body != null) {
            hold(part);
        } else {
            forwardEvents(part);
        }
    }

    private void hold(ByteBuf part) {
        body.writeBytes(part);
        if (body.readableBytes() <= MAX_HELD_BYTES) {
            return;
        }
        boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success && !resuming) {
            passingOn = true;
            listener.onPart(head, body);
        } else {
            breakOff("the answer is too long");
        }
    }

    private void forwardEvents(ByteBuf part) {
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
        if (!abandoned && events.remainingBytes() > MAX_EVENT_BYTES) {
            breakOff("an event is too long");
        }
    }

    /** Ends the attempt as one whose upstream has broken off. */
    private void breakOff(String reason) {
        call.cancel();
        failed(new CallFailure(CallFailure.Stage.SENT, reason));
    }

    @Override
    public void completed(BodyFraming framing) {
        AnswerEnd end =
                body != null
                        ? AnswerEnd.ofBody(framing)
                        : events.end(framing, !firstEventSeen && !resuming);
        if (!end.isWhole()) {
            failed(new CallFailure(CallFailure.Stage.SENT, end.reason()));
            return;
        }
        leavePath();
        gateway.dispatcher().requestEnded(inFlight, BootClock.nanos());
        if (body != null && !passingOn) {
            listener.onAnswer(head, body, end);
        } else {
            gateway.dispatcher().requestSucceeded(instance.id());
            listener.onStreamEnd(head, events.remaining(), end);
        }
    }

    @Override
    public void failed(CallFailure failure) {
        long now = BootClock.nanos();
        leavePath();
        if (failure.sent()) {
            gateway.dispatcher().requestEnded(inFlight, now);
        } else {
            gateway.dispatcher().requestNotWritten(inFlight, now);
        }
        switch (failure.stage()) {
            case NO_TUNNEL, WITHDRAWN -> {
                // Says nothing about the instance.
            }
            default -> recordFailure(failure, now);
        }
        listener.onFailure(failure, tunnel);
    }

    private void recordFailure(CallFailure failure, long now) {
        if (tunnel.isEmpty() && head == null) {
            gateway.paths().failed(instance.id(), failure.stage());
        }
        boolean mayBeOwnPath =
                tunnel.isEmpty() && failure.unconnected() && gateway.paths().hasTunnels();
        if (!mayBeOwnPath) {
            gateway.dispatcher().connectionFailed(instance.id(), now);
        }
    }
}
