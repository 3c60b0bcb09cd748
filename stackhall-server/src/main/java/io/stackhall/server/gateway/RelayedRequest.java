package io.stackhall.server.gateway;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.stackhall.core.dispatch.Admission;
import io.stackhall.core.dispatch.Admission.Verdict;
import io.stackhall.core.dispatch.Choice;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.dispatch.WaitReason;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.quarantine.CrashExposure;
import io.stackhall.core.quarantine.RequestFingerprint;
import io.stackhall.core.quarantine.Standing;
import io.stackhall.core.route.Route;
import io.stackhall.core.stream.StreamOrigin;
import io.stackhall.core.stream.TakeUp;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.gateway.RequestAuthorization.Decision;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** One caller's request from its arrival to its final answer. Used on one event loop. */
final class RelayedRequest {

    /** A control host that has started again is told within this time what it has lost. */
    private static final Duration UNKNOWN_ORIGIN_RETRY_DELAY = Duration.ofSeconds(1);

    private final Gateway gateway;
    private final CallerRequest request;
    private final RequestFingerprint fingerprint;
    private final RequestLog log;
    private final FinalAnswer finalAnswer;
    private final AttemptHistory history = new AttemptHistory();
    private Route route;
    private StreamBinding binding;
    private Need need;
    private RequestDeadlines times;
    private RequestAuthorization rights;
    private long waitingSince;
    private CrashExposure exposure;
    private WaitReason waitReason = WaitReason.NOTHING;
    private Admission admission;
    private boolean resendAcquired;
    private boolean ended;
    private final StreamedAnswer stream;
    private final RequestTimer timer;
    private final AttemptOutcomes outcomes;
    private UpstreamAttempt attempt;

    RelayedRequest(Gateway gateway, CallerRequest request, AnswerWriter answers) {
        this.gateway = gateway;
        this.request = request;
        this.fingerprint = request.fingerprint();
        this.log = new RequestLog(gateway, request, fingerprint);
        this.timer = new RequestTimer(gateway.loop(), this::timeOut);
        this.stream = new StreamedAnswer(answers, log);
        this.finalAnswer =
                new FinalAnswer(gateway, request, answers, log, history, stream, this::close);
        this.outcomes =
                new AttemptOutcomes(gateway, this, answers, log, history, stream, finalAnswer);
    }

    /** Starts processing the request, or continues with it once the first routes are known. */
    void start() {
        if (ended) {
            return;
        }
        timer.cancel();
        if (!gateway.hasRoutes()) {
            awaitRoutes();
            return;
        }
        String host = request.authority();
        Optional<Route> found = gateway.routes().find(host, request.target());
        if (found.isEmpty()) {
            finalAnswer.denyIfConfirmed(
                    HttpResponseStatus.NOT_FOUND, "no route leads here", this::start);
            return;
        }
        route = found.get();
        log.setRoute(route.name());
        history.applyRoute(route);
        times = RequestDeadlines.of(request, route);
        timer.scheduleAt(times.deadlineAt());
        rights = new RequestAuthorization(gateway.customers(), request, route, this::reconsider);
        if (rights.evaluate() instanceof Decision.Refused refused) {
            finalAnswer.denyIfConfirmed(refused, this::start);
            return;
        }
        log.setCustomer(rights.customer());
        binding = new StreamBinding(gateway.streamOrigins(), request, route);
        if (binding.isTakenUp()) {
            binding.inquire(this::takeUp);
        } else {
            admit(request.need(route.chooseService(gateway.drawTicket()), rights.rank()));
        }
    }

    /** Goes on with the stream that the caller takes up, at the software that began it. */
    private void takeUp(TakeUp decision) {
        if (ended) {
            return;
        }
        log.takenUp(decision);
        switch (decision) {
            case TakeUp.GoOn(StreamOrigin begun, TakeUp.Evidence evidence) ->
                    admit(request.need(begun.service(), rights.rank()).atVersion(begun.software()));
            case TakeUp.Refused(TakeUp.Reason reason) ->
                    finalAnswer.refuse(reason.text(), UNKNOWN_ORIGIN_RETRY_DELAY);
        }
    }

    private void admit(Need what) {
        need = what;
        finalAnswer.setNeed(need);
        admission = times.admission(request.arrivedAt());
        gateway.requestArrived(need);
        waitingSince = BootClock.nanos();
        if (!trySend()) {
            gateway.addWaiting(this);
        }
    }

    /** Waits for the first routes after this host's start, if they are expected in time. */
    private void awaitRoutes() {
        long now = BootClock.nanos();
        RequestsAwaitingRoutes first = gateway.firstRoutes();
        if (gateway.isClosing() || !first.shouldWait(request, now)) {
            finalAnswer.refuse("no configuration is known yet", first.retryAfter(now));
            return;
        }
        timer.scheduleAt(first.waitDeadline(request));
        first.add(this);
    }

    /** Returns what the request needs of an instance. */
    Need need() {
        return need;
    }

    /** Returns whether an answer can no longer meet the route's latency objective. */
    boolean isLate(long now) {
        return times.isLate(now);
    }

    /** Returns the deadline of the answer, on the monotonic clock in nanoseconds. */
    long deadlineAt() {
        return times.deadlineAt();
    }

    /**
     * Sends the request if it can be sent now, or refuses it if waiting is useless.
     *
     * @return whether it no longer waits
     */
    boolean trySend() {
        if (ended || attempt != null) {
            return true;
        }
        if (need == null) {
            return false;
        }
        if (gateway.isClosing()) {
            finalAnswer.giveUp("this host is about to stop", Duration.ZERO);
            return true;
        }
        Decision right = rights.evaluate();
        if (right instanceof Decision.Refused refused) {
            finalAnswer.deny(refused);
            return true;
        }
        long now = BootClock.nanos();
        Standing standing = gateway.quarantine().standing(fingerprint, now);
        if (standing instanceof Standing.Condemned condemned) {
            log.condemned(condemned);
            finalAnswer.giveUp("instances end under it", condemned.left());
            return true;
        }
        Choice choice = choose(standing, now);
        int ahead = gateway.countWaitingBefore(this, choice);
        if (choice instanceof Choice.HeldBack held) {
            log.heldBack(held, ahead);
        }
        switch (admission.decide(choice, ahead, now)) {
            case Verdict.Send(Instance instance, String why) -> {
                if (right instanceof Decision.Pending || !rights.ensureFreshGrant()) {
                    waitReason = WaitReason.ALLOWANCE;
                    return false;
                }
                send(instance, why);
            }
            case Verdict.GiveUp(String reason, Duration retryAfter) -> {
                if (choice instanceof Choice.HeldBack held) {
                    log.refusedWhileHeldBack(held);
                }
                finalAnswer.giveUp(
                        reason, gateway.dispatcher().retryAfter(choice, retryAfter, now));
            }
            case Verdict.WaitForAdapter(Instance instance) -> {
                gateway.notices().notifyAdapterWanted(instance, need);
                waitReason = WaitReason.ADAPTER;
                return false;
            }
            case Verdict.Wait(WaitReason reason) -> {
                waitReason = reason;
                return false;
            }
        }
        return true;
    }

    private Choice choose(Standing standing, long now) {
        return gateway.choose(
                standing,
                need,
                history.allowedInstances().and(gateway.paths()::isReachable),
                times.remainingObjective(now),
                now);
    }

    /** Returns the instance that would take the request at once, if there is one. */
    Optional<Instance> instanceNow() {
        long now = BootClock.nanos();
        Choice choice = choose(gateway.quarantine().standing(fingerprint, now), now);
        return choice instanceof Choice.Send send ? Optional.of(send.instance()) : Optional.empty();
    }

    /**
     * Aborts the request, condemned while in flight, unless its answer has begun.
     *
     * @param left how much longer it is refused
     */
    void abortCondemned(Duration left) {
        if (ended || stream.hasBegun() || attempt == null) {
            return;
        }
        if (history.sendCount() == 0) {
            finalAnswer.refuse("instances end under it", left);
        } else {
            finalAnswer.fail(
                    HttpResponseStatus.BAD_GATEWAY, "instances end under it; it may have run");
        }
    }

    /** Reconsiders the request while it waits: sends it, refuses it or lets it wait on. */
    void reconsider() {
        if (trySend()) {
            gateway.removeWaiting(this);
        }
    }

    /** Called when the caller has closed its connection. */
    void callerDisconnected() {
        if (!ended) {
            log.callerDisconnected(history.sendCount());
            close();
        }
    }

    /** Called when the caller's connection becomes writable, or stops being writable. */
    void writabilityChanged(boolean writable) {
        if (attempt != null) {
            attempt.setReading(writable);
        }
    }

    private void send(Instance instance, String why) {
        long now = BootClock.nanos();
        if (history.sendCount() > 0 && !acquireResend()) {
            finalAnswer.giveUp(
                    "too many requests are sent a second time", FinalAnswer.SHORT_RETRY_DELAY);
            return;
        }
        rights.useGrant();
        boolean resuming = stream.hasBegun();
        attempt = new UpstreamAttempt(gateway, instance, need, route.kind(), resuming, outcomes);
        double load = gateway.dispatcher().occupancy(instance.id(), now);
        log.attempts()
                .sent(
                        need,
                        instance,
                        history.sendCount() + 1,
                        why,
                        now - waitingSince,
                        waitReason,
                        load,
                        lastEvent());
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineAt() - now);
        exposure = gateway.quarantine().attemptStarted(fingerprint, instance, this);
        attempt.start(
                UpstreamRequestFactory.create(
                        request,
                        need,
                        instance,
                        rights.customer(),
                        gateway.customers().keysRequired(),
                        remainingMillis,
                        stream.lastEventId()),
                request.id());
    }

    /** Returns the id of the last event that the caller has, from this answer or an earlier one. */
    private OptionalLong lastEvent() {
        return stream.hasBegun() ? stream.lastEventId() : request.lastEventId();
    }

    private void timeOut() {
        if (!ended) {
            finalAnswer.timeOut();
        }
    }

    /** Ends all processing of the request. */
    void close() {
        ended = true;
        timer.cancel();
        gateway.requestEnded(this);
        if (rights != null) {
            rights.close(history.mayHaveRun() || stream.hasBegun() || attempt != null);
        }
        abandonAttempt();
    }

    /**
     * Returns whether the request may be written to an instance once more. What was acquired holds
     * until it is written: an instance or tunnel that is not reached uses up nothing.
     */
    boolean acquireResend() {
        resendAcquired =
                resendAcquired || gateway.tryAcquireRetry(need.service(), BootClock.nanos());
        return resendAcquired;
    }

    /** Records that the request is written to the instance of the current attempt. */
    void recordWritten() {
        resendAcquired = false;
    }

    /** Breaks the current attempt off, if there is one. */
    void abandonAttempt() {
        if (attempt != null) {
            attempt.abandon();
            gateway.quarantine().attemptAbandoned(exposure, endAttempt());
        }
    }

    boolean isEnded() {
        return ended;
    }

    HttpMethod method() {
        return request.method();
    }

    /** Returns the latest attempt, as far as it may be the cause of a crash. */
    CrashExposure exposure() {
        return exposure;
    }

    /** Records an event that the current attempt has brought. */
    void eventReceived() {
        need = binding.eventReceived(attempt.instance(), need);
    }

    /** Returns whether another instance may go on with a stream that has begun. */
    boolean mayGoOnElsewhere() {
        return binding.mayGoOn(need);
    }

    /** Returns the instance of the current attempt. */
    Instance attemptedInstance() {
        return attempt.instance();
    }

    /** Records that the current attempt has ended, and returns its instance. */
    Instance endAttempt() {
        Instance instance = attempt.instance();
        attempt = null;
        gateway.quarantine().attemptEnded(this);
        return instance;
    }

    /** Sends the request again or has it wait, unless its time has passed. */
    void requeue(String reason) {
        if (BootClock.nanos() - deadlineAt() >= 0) {
            finalAnswer.giveUp(reason, FinalAnswer.SHORT_RETRY_DELAY);
            return;
        }
        waitingSince = BootClock.nanos();
        waitReason = WaitReason.NOTHING;
        admission = times.admission(stream.hasBegun() ? BootClock.nanos() : request.arrivedAt());
        if (!trySend()) {
            gateway.addWaiting(this);
        }
    }
}
