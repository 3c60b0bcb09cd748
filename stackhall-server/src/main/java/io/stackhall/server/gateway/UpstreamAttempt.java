package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.stackhall.core.answer.AnswerEnd;
import io.stackhall.core.answer.AnswerIdentity;
import io.stackhall.core.answer.BodyFraming;
import io.stackhall.core.dispatch.InFlightRequest;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.HostId;
import io.stackhall.core.limit.LimitRevision;
import io.stackhall.core.path.UpstreamPaths;
import io.stackhall.core.route.RouteKind;
import io.stackhall.platform.AnswerHeaders;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.relay.CallFailure;
import io.stackhall.server.relay.CallListener;
import io.stackhall.server.relay.ForeignAnswer;
import io.stackhall.server.relay.UpstreamCall;
import io.stackhall.server.relay.UpstreamRoute;
import io.stackhall.server.settings.Address;
import io.stackhall.server.tunnel.TunnelRoute;
import java.util.Optional;

/** One attempt to run a request at one instance, which the dispatcher is notified of. */
final class UpstreamAttempt implements CallListener {

    private final Gateway gateway;
    private final Instance instance;
    private final boolean stream;
    private final boolean resuming;
    private final AttemptListener listener;
    private final Optional<HostId> tunnel;
    private final InFlightRequest inFlight;
    private final LimitRevision limitRevision;
    private UpstreamRoute route;
    private UpstreamCall call;
    private AnswerBody body;
    private long heardAt;
    private boolean firstEventSeen;
    private boolean left;
    private boolean abandoned;

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
        route =
                new UpstreamRoute(
                        Address.parse(instance.address()),
                        tunnel.map(host -> new TunnelRoute(host, instance.id())));
        call = gateway.upstreams().send(route, request, AnswerIdentity.ofRequest(requestId), this);
    }

    /** Ends the attempt and cancels its call if that is still in progress. */
    void abandon() {
        abandoned = true;
        leavePath();
        abandonBody();
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

    /** Returns whether nothing has come for so long that an upstream which is well is checked. */
    boolean isSilent(long now) {
        return now - heardAt >= UpstreamPaths.SILENCE_NANOS;
    }

    /** Returns whether the answer has begun. */
    boolean isAnswered() {
        return body != null;
    }

    @Override
    public boolean sending() {
        // Checked again: connecting may take time, and the instance may drain or rest by now.
        long now = BootClock.nanos();
        inFlight.recordDelayBeforeWrite(
                gateway.loopDelay().unnoticedNanos(inFlight.startedAt(), now));
        heardAt = now;
        boolean written = gateway.dispatcher().mayWrite(instance.id(), now) && listener.onSending();
        if (written && tunnel.isEmpty()) {
            gateway.paths().sent(this);
        }
        return written;
    }

    /**
     * Called when this host does not reach the upstream any more. An attempt whose answer may still
     * come does not count as work of the instance from now on.
     */
    void pathLost() {
        long lostAt = BootClock.nanos();
        gateway.dispatcher().requestEnded(inFlight, lostAt);
        listener.onPathLost(() -> !left && heardAt - lostAt < 0);
    }

    private void abandonBody() {
        if (body != null) {
            body.abandon();
        }
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
        heardAt = BootClock.nanos();
        if (tunnel.isEmpty()) {
            gateway.paths().heard(instance.id(), call.connectedAt());
        }
    }

    @Override
    public void passedOver(ForeignAnswer answer) {
        listener.onPassedOver(answer);
    }

    @Override
    public void answered(HttpResponse answer) {
        long now = BootClock.nanos();
        heard();
        listener.onBegin(call.use());
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
        if (success && stream && Answers.isEventStream(answer)) {
            body =
                    new EventBody(
                            answer,
                            resuming,
                            gateway.heldBytes().newShare(),
                            listener,
                            this::eventReceived);
            return;
        }
        if (success) {
            gateway.dispatcher().responseStarted(inFlight, now);
        } else {
            gateway.dispatcher().errorResponseStarted(inFlight, !Answers.reportsNotRun(answer));
        }
        body = new HeldBody(answer, success && !resuming, gateway.heldBytes().newShare(), listener);
    }

    private void eventReceived() {
        gateway.dispatcher().responseStarted(inFlight, BootClock.nanos());
        if (!firstEventSeen) {
            firstEventSeen = true;
            gateway.upstreams().paceRest(call);
            gateway.promptProcessed();
        }
    }

    @Override
    public void received(ByteBuf part) {
        heard();
        body.add(part)
                .ifPresent(
                        reason -> {
                            call.cancel();
                            breakOff(reason);
                        });
    }

    @Override
    public void completed(BodyFraming framing) {
        AnswerEnd end = body.end(framing);
        if (!end.isWhole()) {
            breakOff(end.reason());
        } else if (framing == BodyFraming.CONNECTION && !isDraining()) {
            gateway.upstreams().checkListens(route, listens -> endConfirmed(listens, end));
        } else {
            complete(end);
        }
    }

    /**
     * Completes an answer that ended with its connection if its upstream is still there. The kernel
     * ends the connections of a process that is killed in good order as well.
     */
    private void endConfirmed(boolean listens, AnswerEnd end) {
        if (abandoned) {
            return;
        }
        if (listens) {
            complete(end);
        } else {
            breakOff("its upstream ended with it");
        }
    }

    /** A draining upstream may close its listener before it ends its last answers. */
    private boolean isDraining() {
        return gateway.dispatcher()
                .find(instance.id())
                .filter(known -> known.state() == InstanceState.DRAINING)
                .isPresent();
    }

    private void complete(AnswerEnd end) {
        leavePath();
        gateway.dispatcher().requestEnded(inFlight, BootClock.nanos());
        body.complete(end);
    }

    /** Ends the attempt as one whose upstream has broken off. */
    private void breakOff(String reason) {
        failed(new CallFailure(CallFailure.Stage.SENT, reason));
    }

    @Override
    public void failed(CallFailure failure) {
        long now = BootClock.nanos();
        leavePath();
        abandonBody();
        if (failure.sent()) {
            gateway.dispatcher().requestEnded(inFlight, now);
        } else {
            gateway.dispatcher().requestNotWritten(inFlight, now);
        }
        switch (failure.stage()) {
            case NO_TUNNEL, NOT_REACHED, WITHDRAWN -> {
                // Says nothing about the instance.
            }
            case UNUSABLE_ANSWER -> {
                heard();
                gateway.dispatcher().connectionFailed(instance.id(), now);
            }
            default -> recordFailure(failure, now);
        }
        listener.onFailure(failure, tunnel);
    }

    private void recordFailure(CallFailure failure, long now) {
        if (tunnel.isEmpty() && body == null) {
            gateway.paths().failed(instance.id(), failure.stage());
        }
        if (tunnel.isPresent() && body == null && failure.sent()) {
            gateway.paths().tunnelFailed(tunnel.get(), instance, failure.stage());
        }
        boolean mayBeOwnPath =
                tunnel.isEmpty()
                        && failure.unconnected()
                        && gateway.paths().hasTunnelTo(instance.id());
        if (!mayBeOwnPath) {
            gateway.dispatcher().connectionFailed(instance.id(), now);
        }
    }
}
