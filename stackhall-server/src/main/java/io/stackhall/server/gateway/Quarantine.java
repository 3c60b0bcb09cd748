package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.answer.BodyFraming;
import io.stackhall.core.dispatch.Choice;
import io.stackhall.core.dispatch.Dispatcher;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.dispatch.SuspectDispatcher;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.quarantine.Acquittal;
import io.stackhall.core.quarantine.Crash;
import io.stackhall.core.quarantine.CrashCause;
import io.stackhall.core.quarantine.CrashExposure;
import io.stackhall.core.quarantine.CrashLedger;
import io.stackhall.core.quarantine.HostPauseDetector;
import io.stackhall.core.quarantine.Presence;
import io.stackhall.core.quarantine.RequestFingerprint;
import io.stackhall.core.quarantine.Standing;
import io.stackhall.core.quarantine.SuspectIsolation;
import io.stackhall.core.quarantine.UnconfirmedCrashes;
import io.stackhall.rpc.generated.fleet.CrashNotice;
import io.stackhall.rpc.generated.fleet.CrashRecord;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.CrashCodec;
import io.stackhall.server.metrics.FleetMetrics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps requests that crash the instances that run them from crashing more of them, and exchanges
 * the crashes that it observes with the control hosts. One per entry host; used on one event loop.
 *
 * <p>A suspect is a request that was in progress at an instance that crashed, or one that shares a
 * part of its prompt with such requests: it runs isolated from other suspects. A condemned request
 * is refused. A request that ends without a crash is acquitted of the crashes before, and so are
 * the parts of its prompt. A sentence is a refusal that all hosts have agreed on.
 */
final class Quarantine {

    private static final Logger logger = LogManager.getLogger(Quarantine.class);

    private final Dispatcher dispatcher;
    private final SuspectDispatcher suspectDispatcher;
    private final CrashProbe crashProbe;
    private final UpstreamPathMonitor paths;
    private final Predicate<UpstreamId> brittle;
    private final FleetMetrics metrics;
    private final Consumer<Frame> toControlHosts;
    private final CrashLedger ledger;
    private final UnconfirmedCrashes unconfirmedCrashes = new UnconfirmedCrashes();
    private final SuspectIsolation isolation = new SuspectIsolation();
    private final HostPauseDetector pauseDetector = new HostPauseDetector(BootClock.nanos());
    private final Map<RelayedRequest, Attempt> inFlight = new HashMap<>();

    /**
     * An attempt in progress.
     *
     * @param isolatedFor the cause for which it runs isolated, if it does
     */
    private record Attempt(
            CrashExposure exposure, UpstreamId instance, Optional<CrashCause> isolatedFor) {

        private Attempt notIsolated() {
            return isolatedFor.isEmpty() ? this : new Attempt(exposure, instance, Optional.empty());
        }
    }

    Quarantine(
            EventLoop loop,
            Dispatcher dispatcher,
            UpstreamPathMonitor paths,
            PathProber prober,
            Predicate<UpstreamId> brittle,
            FleetMetrics metrics,
            Consumer<Frame> toControlHosts,
            RandomGenerator random) {
        this.dispatcher = dispatcher;
        this.suspectDispatcher = new SuspectDispatcher(dispatcher, isolation);
        this.crashProbe = new CrashProbe(loop, prober);
        this.paths = paths;
        this.brittle = brittle;
        this.metrics = metrics;
        this.toControlHosts = toControlHosts;
        this.ledger = CrashLedger.ofSender(random);
    }

    /** Returns the standing of a request. */
    Standing standing(RequestFingerprint fingerprint, long now) {
        return ledger.standing(fingerprint, now);
    }

    /** Chooses an instance for a suspect. */
    Choice choose(
            Standing.Suspect suspect,
            Need need,
            Predicate<UpstreamId> allowed,
            boolean late,
            long now) {
        return suspectDispatcher.choose(suspect.cause(), need, allowed, late, now);
    }

    /**
     * Records that a request is sent to an instance.
     *
     * @return the attempt, for the later calls about it
     */
    CrashExposure attemptStarted(
            RequestFingerprint fingerprint, Instance instance, RelayedRequest by) {
        long now = BootClock.nanos();
        CrashExposure exposure = ledger.expose(fingerprint, now);
        Optional<CrashCause> isolatedFor = Optional.empty();
        if (ledger.standing(fingerprint, now) instanceof Standing.Suspect suspect) {
            isolatedFor = Optional.of(suspect.cause());
            isolation.begin(instance.id(), suspect.cause());
            logger.info(
                    "request.apart digest={} cause={} instance={} crashes={}",
                    fingerprint.request(),
                    suspect.cause(),
                    instance.id(),
                    suspect.crashes());
        }
        inFlight.put(by, new Attempt(exposure, instance.id(), isolatedFor));
        return exposure;
    }

    /** Records that a piece of the answer to a request has come, which ends its isolation. */
    void answerReceived(RelayedRequest by) {
        Attempt attempt = inFlight.get(by);
        if (attempt != null) {
            attempt.exposure().answerReceived(BootClock.nanos());
            endIsolation(attempt);
            inFlight.put(by, attempt.notIsolated());
        }
    }

    /** Records that an attempt of a request has ended, for whatever reason. */
    void attemptEnded(RelayedRequest by) {
        Attempt attempt = inFlight.remove(by);
        if (attempt != null) {
            endIsolation(attempt);
        }
    }

    private void endIsolation(Attempt attempt) {
        attempt.isolatedFor().ifPresent(cause -> isolation.end(attempt.instance(), cause));
    }

    /**
     * Records that an instance has answered a request whole, and not with an error, which it may do
     * without having run the request. An answer that ends with its connection does not tell whether
     * the instance has crashed at that point, so that a suspect is acquitted only if two probes do
     * not find that it has.
     */
    void requestServed(CrashExposure exposure, Instance instance, BodyFraming framing) {
        if (framing != BodyFraming.CONNECTION || isExpectedToEnd(instance)) {
            acquit(exposure.fingerprint());
            return;
        }
        long now = BootClock.nanos();
        unconfirmedCrashes.recordEndedWithConnection(
                instance.id(), ledger.possibleCauses(exposure, now), now);
        if (ledger.standing(exposure.fingerprint(), now) instanceof Standing.Suspect) {
            probeAfterSuspect(exposure.fingerprint(), instance);
        }
    }

    private void probeAfterSuspect(RequestFingerprint suspect, Instance instance) {
        crashProbe.check(
                instance,
                true,
                crashedOr(instance, () -> checkLater(instance, true, () -> acquit(suspect))));
    }

    /**
     * Checks again whether an instance has crashed whose address did not refuse a connection.
     *
     * @param otherwise run if it is not found to have crashed
     */
    private void checkLater(Instance instance, boolean endedConnection, Runnable otherwise) {
        crashProbe.checkLater(instance, endedConnection, crashedOr(instance, otherwise));
    }

    /** Returns what to do with the result of a check of an instance. */
    private Consumer<Boolean> crashedOr(Instance instance, Runnable otherwise) {
        return crashed -> {
            if (crashed) {
                incarnationCrashed(instance.id());
            } else {
                otherwise.run();
            }
        };
    }

    private void acquit(RequestFingerprint fingerprint) {
        publish(ledger.recordHarmlessEnd(fingerprint, BootClock.nanos()));
    }

    private void publish(List<Acquittal> acquittals) {
        if (acquittals.isEmpty()) {
            return;
        }
        CrashNotice.Builder notice = CrashCodec.notice();
        for (Acquittal acquittal : acquittals) {
            CrashCodec.add(notice, acquittal);
            logger.info(
                    "request.acquitted digest={} lives={}",
                    acquittal.cause(),
                    acquittal.incarnations());
        }
        toControlHosts.accept(CrashCodec.frame(notice));
    }

    /**
     * Records that an instance has interrupted a request. If the instance has crashed, the crash is
     * attributed to the request, except if this host has paused since it sent the request or if the
     * instance was expected to end. A host that is cut off takes an instance for crashed only if
     * the instance itself has ended the connection, or another host says so.
     *
     * @param endedConnection whether the instance has ended the connection in good order
     * @param resume continues with the request, once it is known whether the instance has crashed
     */
    void attemptInterrupted(
            CrashExposure exposure, Instance instance, boolean endedConnection, Runnable resume) {
        long now = BootClock.nanos();
        if (pauseDetector.pausedSince(exposure.sentAt(), now) || isExpectedToEnd(instance)) {
            resume.run();
            return;
        }
        Map<CrashCause, Presence> causes = ledger.possibleCauses(exposure, now);
        crashProbe.check(
                instance,
                endedConnection,
                crashed -> {
                    unconfirmedCrashes.recordInterrupted(instance.id(), causes, BootClock.nanos());
                    crashedOr(instance, () -> checkLater(instance, endedConnection, () -> {}))
                            .accept(crashed);
                    resume.run();
                });
    }

    /**
     * Records that a request is abandoned while its instance may run it. If the instance crashes
     * later, there is no connection left on which this host would notice.
     */
    void attemptAbandoned(CrashExposure exposure, Instance instance) {
        if (!isExpectedToEnd(instance) && !paths.isCutOff()) {
            long now = BootClock.nanos();
            unconfirmedCrashes.recordInterrupted(
                    instance.id(), ledger.possibleCauses(exposure, now), now);
        }
    }

    /** Records the announcement of an incarnation, which confirms crashes of earlier ones. */
    void instanceAnnounced(UpstreamId incarnation) {
        unconfirmedCrashes.confirmedBy(incarnation, BootClock.nanos()).forEach(this::recordCrash);
    }

    /** Applies the crashes, acquittals and sentences that a control host has sent. */
    void received(CrashNotice notice) {
        long now = BootClock.nanos();
        for (CrashRecord record : notice.getCrashesList()) {
            Crash crash = CrashCodec.decode(record);
            ledger.recordCrash(crash, now);
            incarnationCrashed(crash.incarnation());
            publish(ledger.vouch(crash, now));
        }
        CrashCodec.acquittals(notice).forEach(ledger::applyAcquittal);
        if (notice.hasSentenced()) {
            ledger.applySentences(CrashCodec.added(notice.getSentenced()), now)
                    .forEach(cause -> logger.info("request.sentenced digest={}", cause));
            ledger.liftSentences(CrashCodec.lifted(notice.getSentenced()));
        }
        abortCondemned();
    }

    /**
     * Returns a notice of all crashes that this host knows, for a control host that has just
     * connected and may know none; empty if there are none.
     */
    Optional<Frame> fullNotice() {
        List<CrashRecord> all = ledger.crashes().stream().map(CrashCodec::encode).toList();
        return all.isEmpty()
                ? Optional.empty()
                : Optional.of(CrashCodec.frame(CrashCodec.notice().addAllCrashes(all)));
    }

    /** Tells the pause detector that the process is running. */
    void tick() {
        pauseDetector.tick(BootClock.nanos());
    }

    /** Removes entries that are too old to affect any decision. */
    void sweep() {
        ledger.sweep(BootClock.nanos());
        crashProbe.sweep();
    }

    /** Updates the gauges of the current state. */
    void updateMetrics() {
        metrics.state("suspects", ledger.size());
        metrics.state("refused_requests", ledger.condemned(BootClock.nanos()).size());
    }

    /**
     * Returns whether an instance is expected to end: it is no longer ready, since it drains or has
     * announced that it is leaving, or it is no longer known, or it is brittle: it may fall for the
     * requests that it has refused.
     */
    private boolean isExpectedToEnd(Instance instance) {
        return brittle.test(instance.id())
                || dispatcher
                        .find(instance.id())
                        .filter(known -> known.state() == InstanceState.READY)
                        .isEmpty();
    }

    /** Attributes a crash to what was interrupted at the incarnation. */
    private void incarnationCrashed(UpstreamId incarnation) {
        recordCrash(unconfirmedCrashes.takeCrash(incarnation, BootClock.nanos()));
    }

    private void recordCrash(Crash crash) {
        long now = BootClock.nanos();
        if (!ledger.recordCrash(crash, now)) {
            return;
        }
        crash.causes()
                .forEach(
                        (cause, presence) ->
                                logger.info(
                                        "request.suspected digest={} kind={} instance={} round={}"
                                                + " standing={}",
                                        cause,
                                        cause.kind(),
                                        crash.incarnation(),
                                        presence.round(),
                                        ledger.standing(cause, now)));
        toControlHosts.accept(
                CrashCodec.frame(CrashCodec.notice().addCrashes(CrashCodec.encode(crash))));
        abortCondemned();
    }

    /**
     * Aborts the condemned requests that are in flight: an instance may not have begun to run them
     * yet.
     */
    private void abortCondemned() {
        long now = BootClock.nanos();
        for (Map.Entry<RelayedRequest, Attempt> entry : List.copyOf(inFlight.entrySet())) {
            RequestFingerprint fingerprint = entry.getValue().exposure().fingerprint();
            if (ledger.standing(fingerprint, now) instanceof Standing.Condemned condemned) {
                entry.getKey().abortCondemned(condemned.left());
            }
        }
    }
}
