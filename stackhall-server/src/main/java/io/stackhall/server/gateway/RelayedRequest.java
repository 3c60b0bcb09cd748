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
import io.stackhall.platform.Headers;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.relay.CallFailure;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One caller's request from its arrival to its final answer.
 *
 * <p>What a failure may say depends on how far the request came: until a byte of it was written to
 * an upstream, or after the upstream itself has said so, it has not run and may be refused. After
 * that it may have run, and unless it may run again its caller is told that the outcome is unknown.
 */
final class RelayedRequest implements AttemptListener {

    private static final Duration SOON = Duration.ofMillis(300);
    private static final String BROKE_OFF = "the instance broke off";

    private final Gateway gateway;
    private final CallerRequest request;
    private final AnswerWriter answers;
    private final RequestDigest digest;
    private final RequestLog log;
    private final AttemptHistory history = new AttemptHistory();
    private Route route;
    private Need need;
    private RequestTimes times;
    private long waitingSince;
    private long sentAt;
    private WaitReason waitsFor = WaitReason.NOTHING;
    private Admission admission;
    private boolean mayHaveRun;
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
            finish(HttpResponseStatus.NOT_FOUND, "no route leads here");
            return;
        }
        route = found.get();
        log.route(route.name());
        history.allow(route.maxAttempts());
        need = request.need(route, route.service(gateway.ticket()));
        times = RequestTimes.of(request, route);
        timer.at(times.deadlineAt());
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
        FirstRoutes first = gateway.firstRoutes();
        if (gateway.closing() || !first.worthWaiting(request, now)) {
            refuse("no configuration is known yet", first.retryAfter(now));
            return;
        }
        timer.at(first.latest(request));
        first.add(this);
    }

    /** Returns what the request needs. */
    Need need() {
        return need;
    }

    /** Returns whether an answer can only be late. */
    boolean late(long now) {
        return times.late(now);
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
            giveUp("this host is about to stop", Duration.ZERO);
            return true;
        }
        long now = BootClock.nanos();
        Standing standing = gateway.quarantine().standing(digest, now);
        if (standing instanceof Standing.Condemned(Duration left)) {
            giveUp("instances end under it", left);
            return true;
        }
        Choice choice = choose(standing, now);
        int ahead = choice instanceof Choice.Full ? gateway.waitingBefore(this) : 0;
        switch (admission.judge(choice, ahead, now)) {
            case Verdict.Send(Instance instance, String why) -> send(instance, why);
            case Verdict.GiveUp(String reason, Duration retryAfter) -> giveUp(reason, retryAfter);
            case Verdict.WaitForAdapter(Instance instance) -> {
                gateway.notices().wantAdapter(instance, need);
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

    private Choice choose(Standing standing, long now) {
        return standing instanceof Standing.Suspect
                ? gateway.quarantine().choose(digest, need, history.allowed(), late(now), now)
                : gateway.dispatcher().choose(need, history.allowed(), late(now), now);
    }

    /** Ends a copy of a request that is refused by now, if it may not have begun to run yet. */
    void stopCondemned() {
        if (!ended && !stream.begun() && attempt != null) {
            finish(HttpResponseStatus.BAD_GATEWAY, "instances end under it; it may have run");
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
        return times.admission(stream.begun() ? BootClock.nanos() : request.arrivedAt());
    }

    private void giveUp(String reason, Duration retryAfter) {
        if (stream.begun()) {
            breakOff(reason);
        } else if (mayHaveRun) {
            finish(HttpResponseStatus.BAD_GATEWAY, "the outcome is unknown: " + reason);
        } else {
            refuse(reason, retryAfter);
        }
    }

    private void send(Instance instance, String why) {
        long now = BootClock.nanos();
        if (history.sends() > 0 && !gateway.mayResend(now)) {
            giveUp("too many requests are sent a second time", SOON);
            return;
        }
        attempt = new UpstreamAttempt(gateway, instance, need, route.kind(), this);
        double load = gateway.dispatcher().occupancy(instance.id(), now);
        log.sent(need, instance, history.sends() + 1, why, now - waitingSince, waitsFor, load);
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineAt() - now);
        sentAt = now;
        gateway.quarantine().sent(digest, instance, this);
        attempt.begin(
                RequestCopy.of(request, need, instance, leftMillis, stream.lastEvent()),
                request.id());
    }

    private void outOfTime() {
        if (ended) {
            return;
        }
        if (stream.begun()) {
            breakOff("its time has passed");
        } else if (history.sends() == 0) {
            refuse("its time has passed", SOON);
        } else {
            finish(HttpResponseStatus.GATEWAY_TIMEOUT, "no answer came in time");
        }
    }

    private void refuse(String reason, Duration retryAfter) {
        long version = gateway.knowsRoutes() ? gateway.routes().version() : -1;
        log.refused(need, reason, retryAfter, history.sends(), version);
        close();
        answers.answer(Answers.refusal(reason, request.id(), retryAfter));
    }

    private void finish(HttpResponseStatus status, String reason) {
        log.failed(status.code(), reason, history.sends());
        close();
        answers.answer(Answers.failure(status, reason, request.id()));
    }

    private void breakOff(String reason) {
        log.brokenOff(reason, stream.lastEvent(), history.sends());
        close();
        answers.abort();
    }

    private void close() {
        ended = true;
        timer.cancel();
        gateway.gone(this);
        if (attempt != null) {
            attempt.abandon();
            endAttempt();
        }
    }

    private Instance endAttempt() {
        Instance instance = attempt.instance();
        attempt = null;
        gateway.quarantine().left(digest, instance.id(), this);
        return instance;
    }

    @Override
    public void sending() {
        history.sent(attempt.instance().id());
    }

    @Override
    public void event(HttpResponse head, EventAssembler.Event event) {
        gateway.quarantine().begun(digest, attempt.instance().id());
        stream.event(head, event);
    }

    @Override
    public void streamEnded(HttpResponse head, ByteBuf rest) {
        log.answered(head.status().code(), stream.lastEvent(), history.sends());
        endAttempt();
        gateway.quarantine().endedWell(digest);
        stream.rest(head, rest);
        close();
        answers.end();
    }

    @Override
    public void answered(HttpResponse head, ByteBuf body) {
        Instance instance = endAttempt();
        boolean notRun =
                head.headers().contains(Headers.NOT_RUN)
                        || head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        if (notRun) {
            notRun(instance, head);
            return;
        }
        log.answered(head.status().code(), stream.lastEvent(), history.sends());
        gateway.quarantine().endedWell(digest);
        mayHaveRun = true;
        boolean failed = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (failed) {
            gateway.dispatcher().erred(instance.id());
        } else {
            gateway.dispatcher().succeeded(instance.id());
        }
        if (stream.begun()) {
            resume(instance);
        } else if (failed && mayGoOn()) {
            goOn(instance, "the instance failed");
        } else if (Answers.looksLikeRefusal(head.status())) {
            finish(HttpResponseStatus.BAD_GATEWAY, "the instance gave up, and may have run it");
        } else {
            close();
            answers.answer(Answers.whole(head, body));
        }
    }

    @Override
    public void brokeOff(CallFailure failure) {
        Instance instance = endAttempt();
        log.attemptFailed(instance, failure.sent(), failure.reason(), stream.lastEvent());
        if (!failure.sent()) {
            gateway.notices().unreachable(instance, failure.stage());
            goOn(instance, "the instance cannot be reached");
            return;
        }
        mayHaveRun = true;
        if (!mayGoOn()) {
            endBroken();
        }
        gateway.quarantine().brokeOff(digest, instance, sentAt, () -> goOn(instance, BROKE_OFF));
    }

    /** Returns whether another instance may take up what broke off. */
    private boolean mayGoOn() {
        boolean may =
                stream.begun()
                        ? route.resumable() && stream.lastEvent().isPresent()
                        : route.repeatable();
        return may && history.another();
    }

    private void endBroken() {
        if (stream.begun()) {
            breakOff(BROKE_OFF);
        } else {
            finish(HttpResponseStatus.BAD_GATEWAY, BROKE_OFF);
        }
    }

    private void goOn(Instance instance, String reason) {
        if (!ended) {
            history.giveUp(instance.id());
            again(reason);
        }
    }

    private void notRun(Instance instance, HttpResponse head) {
        log.notRun(instance, head.status().code());
        gateway.dispatcher().lacks(instance.id(), need, BootClock.nanos());
        boolean comes = need.adapter().isPresent() && history.adapterMayCome();
        if (stream.begun()) {
            resume(instance);
        } else if (comes) {
            again("its adapter is on its way");
        } else if (history.another()) {
            goOn(instance, "the instance did not run it");
        } else {
            giveUp("the instance did not run it", SOON);
        }
    }

    private void resume(Instance instance) {
        if (mayGoOn()) {
            goOn(instance, BROKE_OFF);
        } else {
            endBroken();
        }
    }

    private void again(String reason) {
        if (BootClock.nanos() - deadlineAt() >= 0) {
            giveUp(reason, SOON);
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
