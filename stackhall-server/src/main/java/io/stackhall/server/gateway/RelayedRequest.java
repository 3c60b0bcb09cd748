package io.stackhall.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.stackhall.core.dispatch.Admission;
import io.stackhall.core.dispatch.Admission.Verdict;
import io.stackhall.core.dispatch.Choice;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.dispatch.WaitReason;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.Standing;
import io.stackhall.core.route.Route;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.gateway.RequestAuthorization.Decision;
import io.stackhall.server.relay.CallFailure;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One caller's request from its arrival to its final answer. */
final class RelayedRequest implements AttemptListener {

    private final Gateway gateway;
    private final CallerRequest request;
    private final AnswerWriter answers;
    private final RequestDigest digest;
    private final RequestLog log;
    private final FinalAnswer last;
    private final AttemptHistory history = new AttemptHistory();
    private Route route;
    private Need need;
    private RequestDeadlines times;
    private RequestAuthorization rights;
    private long waitingSince;
    private long sentAt;
    private WaitReason waitsFor = WaitReason.NOTHING;
    private Admission admission;
    private boolean ended;
    private final StreamedAnswer stream;
    private final RequestTimer timer;
    private UpstreamAttempt attempt;

    RelayedRequest(Gateway gateway, CallerRequest request, AnswerWriter answers) {
        this.gateway = gateway;
        this.request = request;
        this.answers = answers;
        this.digest = request.digest();
        this.log = new RequestLog(gateway, request, digest);
        this.timer = new RequestTimer(gateway.loop(), this::outOfTime);
        this.stream = new StreamedAnswer(answers, log);
        this.last = new FinalAnswer(gateway, request, answers, log, history, stream, this::close);
    }

    /** Begins to work on the request, or goes on once the first routes are known. */
    void start() {
        timer.cancel();
        if (!gateway.knowsRoutes()) {
            awaitRoutes();
            return;
        }
        String host = request.authority();
        Optional<Route> found = gateway.routes().find(host, request.target());
        if (found.isEmpty()) {
            log.noRoute(host, request.target(), gateway.routes().version());
            last.finish(HttpResponseStatus.NOT_FOUND, "no route leads here");
            return;
        }
        route = found.get();
        log.route(route.name());
        history.allow(route);
        times = RequestDeadlines.of(request, route);
        timer.scheduleAt(times.deadlineAt());
        rights = new RequestAuthorization(gateway.customers(), request, route, this::tryAgain);
        if (rights.evaluate() instanceof Decision.Refused refused) {
            last.deny(refused);
            return;
        }
        log.customer(rights.customer());
        need = request.need(route.chooseService(gateway.ticket()), rights.rank());
        last.about(need);
        admission = newAdmission();
        gateway.arrived(need);
        waitingSince = BootClock.nanos();
        if (!tryToSend()) {
            gateway.waits(this);
        }
    }

    /** Waits for the first routes after this host's start, if they should come in time. */
    private void awaitRoutes() {
        long now = BootClock.nanos();
        RequestsAwaitingRoutes first = gateway.firstRoutes();
        if (gateway.closing() || !first.shouldWait(request, now)) {
            last.refuse("no configuration is known yet", first.retryAfter(now));
            return;
        }
        timer.scheduleAt(first.waitDeadline(request));
        first.add(this);
    }

    /** Returns what the request needs. */
    Need need() {
        return need;
    }

    /** Returns whether an answer can only be late. */
    boolean late(long now) {
        return times.isLate(now);
    }

    /** Returns until when an answer is of use, on the monotonic clock in nanoseconds. */
    long deadlineAt() {
        return times.deadlineAt();
    }

    /**
     * Sends the request if it can be sent now, or refuses it if waiting is of no use.
     *
     * @return whether it no longer waits
     */
    boolean tryToSend() {
        if (ended || attempt != null) {
            return true;
        }
        if (gateway.closing()) {
            last.giveUp("this host is about to stop", Duration.ZERO);
            return true;
        }
        Decision right = rights.evaluate();
        if (right instanceof Decision.Refused refused) {
            last.deny(refused);
            return true;
        }
        long now = BootClock.nanos();
        Standing standing = gateway.quarantine().standing(digest, now);
        if (standing instanceof Standing.Condemned(Duration left)) {
            last.giveUp("instances end under it", left);
            return true;
        }
        Choice choice =
                gateway.choose(
                        standing,
                        digest,
                        need,
                        history.allowed(),
                        times.remainingObjective(now),
                        now);
        int ahead = waitsInTurn(choice) ? gateway.waitingBefore(this) : 0;
        if (choice instanceof Choice.HeldBack held) {
            log.heldBack(held, ahead);
        }
        switch (admission.decide(choice, ahead, now)) {
            case Verdict.Send(Instance instance, String why) -> {
                if (right instanceof Decision.Pending || !rights.ensureFreshGrant()) {
                    waitsFor = WaitReason.ALLOWANCE;
                    return false;
                }
                send(instance, why);
            }
            case Verdict.GiveUp(String reason, Duration retryAfter) -> {
                if (choice instanceof Choice.HeldBack held) {
                    log.turnedBack(held);
                }
                last.giveUp(reason, gateway.dispatcher().retryAfter(choice, retryAfter, now));
            }
            case Verdict.WaitForAdapter(Instance instance) -> {
                gateway.notices().notifyAdapterWanted(instance, need);
                waitsFor = WaitReason.ADAPTER;
                return false;
            }
            case Verdict.Wait(WaitReason reason) -> {
                waitsFor = reason;
                return false;
            }
        }
        return true;
    }

    private static boolean waitsInTurn(Choice choice) {
        return choice instanceof Choice.Full || choice instanceof Choice.HeldBack;
    }

    /** Ends a copy of a request that is refused by now, if it may not have begun to run yet. */
    void stopCondemned() {
        if (!ended && !stream.hasBegun() && attempt != null) {
            last.finish(HttpResponseStatus.BAD_GATEWAY, "instances end under it; it may have run");
        }
    }

    /** Tries again a request that waits. */
    void tryAgain() {
        if (tryToSend()) {
            gateway.waitsNoMore(this);
        }
    }

    /** The caller has closed its connection. */
    void callerLeft() {
        if (!ended) {
            log.callerLeft(history.sends());
            close();
        }
    }

    /** The caller takes more, or cannot take more now. */
    void writable(boolean yes) {
        if (attempt != null) {
            attempt.reading(yes);
        }
    }

    private Admission newAdmission() {
        return times.admission(stream.hasBegun() ? BootClock.nanos() : request.arrivedAt());
    }

    private void send(Instance instance, String why) {
        long now = BootClock.nanos();
        if (history.sends() > 0 && !gateway.mayResend(need.service(), now)) {
            last.giveUp("too many requests are sent a second time", FinalAnswer.SOON);
            return;
        }
        rights.useGrant();
        attempt = new UpstreamAttempt(gateway, instance, need, route.kind(), this);
        double load = gateway.dispatcher().occupancy(instance.id(), now);
        log.sent(need, instance, history.sends() + 1, why, now - waitingSince, waitsFor, load);
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineAt() - now);
        sentAt = now;
        gateway.quarantine().sent(digest, instance, this);
        attempt.begin(
                UpstreamRequestFactory.create(
                        request,
                        need,
                        instance,
                        rights.customer(),
                        gateway.customers().keysRequired(),
                        leftMillis,
                        stream.lastEventId()),
                request.id());
    }

    private void outOfTime() {
        if (!ended) {
            last.outOfTime();
        }
    }

    private void close() {
        ended = true;
        timer.cancel();
        gateway.gone(this);
        if (rights != null) {
            rights.close(history.mayHaveRun() || stream.hasBegun() || attempt != null);
        }
        if (attempt != null) {
            attempt.abandon();
            gateway.quarantine().abandoned(digest, endAttempt());
        }
    }

    private Instance endAttempt() {
        Instance instance = attempt.instance();
        attempt = null;
        gateway.quarantine().left(digest, instance.id(), this);
        return instance;
    }

    @Override
    public void onSending() {
        history.sent(attempt.instance().id());
    }

    @Override
    public void onEvent(HttpResponse head, EventAssembler.Event event) {
        gateway.quarantine().begun(digest, attempt.instance().id());
        stream.forwardEvent(head, event);
    }

    @Override
    public void onStreamEnd(HttpResponse head, ByteBuf rest) {
        log.answered(head.status().code(), stream.lastEventId(), history.sends());
        endAttempt();
        gateway.quarantine().endedWell(digest);
        stream.forwardBytes(head, rest);
        close();
        answers.end();
    }

    @Override
    public void onAnswer(HttpResponse head, ByteBuf body) {
        Instance instance = endAttempt();
        if (Answers.saysNotRun(head)) {
            notRun(instance, head);
            return;
        }
        log.answered(head.status().code(), stream.lastEventId(), history.sends());
        gateway.quarantine().endedWell(digest);
        history.ran();
        boolean failed = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (failed) {
            gateway.dispatcher().requestFailed(instance.id());
        } else {
            gateway.dispatcher().requestSucceeded(instance.id());
        }
        if (stream.hasBegun()) {
            resume(instance);
        } else if (failed && mayGoOn()) {
            goOn(instance, "the instance failed");
        } else if (Answers.looksLikeRefusal(head.status())) {
            last.finish(
                    HttpResponseStatus.BAD_GATEWAY, "the instance gave up, and may have run it");
        } else {
            close();
            answers.writeAnswer(Answers.whole(head, body));
        }
    }

    @Override
    public void onFailure(CallFailure failure) {
        Instance instance = endAttempt();
        log.attemptFailed(instance, failure.sent(), failure.reason(), stream.lastEventId());
        if (failure.stage() == CallFailure.Stage.WITHDRAWN) {
            again("the instance wants nothing any more");
            return;
        }
        if (!failure.sent()) {
            gateway.notices().notifyUnreachable(instance, failure.stage());
            goOn(instance, "the instance cannot be reached");
            return;
        }
        history.ran();
        if (!mayGoOn()) {
            last.endBroken();
        }
        gateway.quarantine()
                .brokeOff(digest, instance, sentAt, () -> goOn(instance, FinalAnswer.BROKE_OFF));
    }

    private boolean mayGoOn() {
        return history.mayGoOn(stream.hasBegun(), stream.lastEventId().isPresent());
    }

    private void goOn(Instance instance, String reason) {
        if (!ended) {
            history.giveUp(instance.id());
            again(reason);
        }
    }

    private void notRun(Instance instance, HttpResponse head) {
        log.notRun(instance, head.status().code());
        history.notRun(instance.id());
        boolean rests = gateway.dispatcher().isResting(instance.id(), BootClock.nanos());
        if (!rests) {
            gateway.dispatcher().requestRejected(instance.id(), need, BootClock.nanos());
        }
        boolean comes = need.adapter().isPresent() && history.adapterMayCome();
        if (stream.hasBegun()) {
            resume(instance);
        } else if (rests) {
            again("the instance wants rest");
        } else if (comes) {
            again("its adapter is on its way");
        } else {
            goOn(instance, "the instance did not run it");
        }
    }

    private void resume(Instance instance) {
        if (mayGoOn()) {
            goOn(instance, FinalAnswer.BROKE_OFF);
        } else {
            last.endBroken();
        }
    }

    private void again(String reason) {
        if (BootClock.nanos() - deadlineAt() >= 0) {
            last.giveUp(reason, FinalAnswer.SOON);
            return;
        }
        waitingSince = BootClock.nanos();
        waitsFor = WaitReason.NOTHING;
        admission = newAdmission();
        if (!tryToSend()) {
            gateway.waits(this);
        }
    }
}
