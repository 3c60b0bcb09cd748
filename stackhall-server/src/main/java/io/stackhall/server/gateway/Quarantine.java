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
import io.stackhall.core.quarantine.CrashLedger;
import io.stackhall.core.quarantine.HostPauseDetector;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.Standing;
import io.stackhall.core.quarantine.SuspectIsolation;
import io.stackhall.core.quarantine.UnconfirmedCrashes;
import io.stackhall.rpc.generated.fleet.AcquittalRecord;
import io.stackhall.rpc.generated.fleet.CrashNotice;
import io.stackhall.rpc.generated.fleet.CrashRecord;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.CrashCodec;
import io.stackhall.server.metrics.FleetMetrics;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps requests that crash the instances that run them from crashing more of them, and exchanges
 * the crashes that it observes with the control hosts. One per entry host; used on one event loop.
 *
 * <p>A suspect is a request that was in progress at an instance that crashed: it runs isolated from
 * other suspects. A condemned request is refused. A request that ends without a crash is acquitted
 * of the crashes before. A sentence is a refusal that all hosts have agreed on.
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
    private final CrashLedger ledger = new CrashLedger();
    private final UnconfirmedCrashes unconfirmedCrashes = new UnconfirmedCrashes();
    private final SuspectIsolation isolation = new SuspectIsolation();
    private final HostPauseDetector pauseDetector = new HostPauseDetector(BootClock.nanos());
    private final Map<RequestDigest, Set<RelayedRequest>> inFlight = new HashMap<>();

    Quarantine(
            EventLoop loop,
            Dispatcher dispatcher,
            UpstreamPathMonitor paths,
            PathProber prober,
            Predicate<UpstreamId> brittle,
            FleetMetrics metrics,
            Consumer<Frame> toControlHosts) {
        this.dispatcher = dispatcher;
        this.suspectDispatcher = new SuspectDispatcher(dispatcher, isolation);
        this.crashProbe = new CrashProbe(loop, prober);
        this.paths = paths;
        this.brittle = brittle;
        this.metrics = metrics;
        this.toControlHosts = toControlHosts;
    }

    /** Returns the standing of a request. */
    Standing standing(RequestDigest request, long now) {
        return ledger.standing(request, now);
    }

    /** Chooses an instance for a suspect. */
    Choice choose(
            RequestDigest request,
            Need need,
            Predicate<UpstreamId> allowed,
            boolean late,
            long now) {
        return suspectDispatcher.choose(request, need, allowed, late, now);
    }

    /** Records that a request is sent to an instance. */
    void attemptStarted(RequestDigest request, Instance instance, RelayedRequest by) {
        inFlight.computeIfAbsent(request, key -> new HashSet<>()).add(by);
        if (ledger.standing(request, BootClock.nanos()) instanceof Standing.Suspect suspect) {
            isolation.begin(instance.id(), request);
            logger.info(
                    "request.apart digest={} instance={} crashes={}",
                    request,
                    instance.id(),
                    suspect.crashes());
        }
    }

    /** Records that the answer to a request has begun, which ends its isolation. */
    void answerBegun(RequestDigest request, UpstreamId instance) {
        isolation.end(instance, request);
    }

    /** Records that an attempt of a request at an instance has ended, for whatever reason. */
    void attemptEnded(RequestDigest request, UpstreamId instance, RelayedRequest by) {
        isolation.end(instance, request);
        Set<RelayedRequest> copies = inFlight.get(request);
        if (copies != null && copies.remove(by) && copies.isEmpty()) {
            inFlight.remove(request);
        }
    }

    /**
     * Records that an instance has answered a request whole. An answer that ends with its
     * connection does not tell whether the instance has crashed at that point, so that a suspect is
     * acquitted only if two probes do not find that it has.
     */
    void requestCompleted(RequestDigest request, Instance instance, BodyFraming framing) {
        if (framing != BodyFraming.CONNECTION || isExpectedToEnd(instance)) {
            acquit(request);
            return;
        }
        long now = BootClock.nanos();
        unconfirmedCrashes.recordEndedWithConnection(instance.id(), request, now);
        if (ledger.standing(request, now) instanceof Standing.Suspect) {
            probeAfterSuspect(request, instance);
        }
    }

    private void probeAfterSuspect(RequestDigest suspect, Instance instance) {
        crashProbe.check(
                instance, crashedOr(instance, () -> checkLater(instance, () -> acquit(suspect))));
    }

    /**
     * Checks again whether an instance has crashed whose address did not refuse a connection.
     *
     * @param otherwise run if it is not found to have crashed
     */
    private void checkLater(Instance instance, Runnable otherwise) {
        crashProbe.checkLater(instance, crashedOr(instance, otherwise));
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

    private void acquit(RequestDigest request) {
        ledger.recordHarmlessEnd(request).ifPresent(this::publishAcquittal);
    }

    /**
     * Records that an instance has interrupted a request. If the instance has crashed, the crash is
     * attributed to the request, except if this host has paused since it sent the request or if the
     * instance was expected to end. A host that is cut off takes an instance for crashed only if
     * another host says so.
     *
     * @param sentAt when the request was sent, on the monotonic clock in nanoseconds
     * @param resume continues with the request, once it is known whether the instance has crashed
     */
    void attemptInterrupted(
            RequestDigest request, Instance instance, long sentAt, Runnable resume) {
        if (pauseDetector.pausedSince(sentAt, BootClock.nanos()) || isExpectedToEnd(instance)) {
            resume.run();
            return;
        }
        crashProbe.check(
                instance,
                crashed -> {
                    unconfirmedCrashes.recordInterrupted(instance.id(), request, BootClock.nanos());
                    crashedOr(instance, () -> checkLater(instance, () -> {})).accept(crashed);
                    resume.run();
                });
    }

    /**
     * Records that a request is abandoned while its instance may run it. If the instance crashes
     * later, there is no connection left on which this host would notice.
     */
    void attemptAbandoned(RequestDigest request, Instance instance) {
        if (!isExpectedToEnd(instance) && !paths.isCutOff()) {
            unconfirmedCrashes.recordInterrupted(instance.id(), request, BootClock.nanos());
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
        }
        for (AcquittalRecord record : notice.getAcquittalsList()) {
            ledger.applyAcquittal(CrashCodec.decode(record));
        }
        if (notice.hasSentenced()) {
            List<RequestDigest> all = CrashCodec.decode(notice.getSentenced().getAddedList());
            ledger.applySentences(all, now)
                    .forEach(request -> logger.info("request.sentenced digest={}", request));
            ledger.liftSentences(CrashCodec.decode(notice.getSentenced().getLiftedList()));
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

    /** Attributes a crash to the requests that were interrupted at the incarnation. */
    private void incarnationCrashed(UpstreamId incarnation) {
        Set<RequestDigest> requests =
                unconfirmedCrashes.takeRequests(incarnation, BootClock.nanos());
        if (!requests.isEmpty()) {
            recordCrash(new Crash(incarnation, requests));
        }
    }

    private void recordCrash(Crash crash) {
        long now = BootClock.nanos();
        if (!ledger.recordCrash(crash, now)) {
            return;
        }
        for (RequestDigest request : crash.requests()) {
            Standing standing = ledger.standing(request, now);
            logger.info(
                    "request.suspected digest={} instance={} standing={}",
                    request,
                    crash.incarnation(),
                    standing);
        }
        toControlHosts.accept(
                CrashCodec.frame(CrashCodec.notice().addCrashes(CrashCodec.encode(crash))));
        abortCondemned();
    }

    private void publishAcquittal(Acquittal acquittal) {
        logger.info(
                "request.acquitted digest={} lives={}",
                acquittal.request(),
                acquittal.incarnations());
        toControlHosts.accept(
                CrashCodec.frame(CrashCodec.notice().addAcquittals(CrashCodec.encode(acquittal))));
    }

    /**
     * Aborts the copies of condemned requests that are in flight: an instance may not have begun to
     * run them yet.
     */
    private void abortCondemned() {
        long now = BootClock.nanos();
        for (RequestDigest request : List.copyOf(inFlight.keySet())) {
            if (ledger.standing(request, now) instanceof Standing.Condemned) {
                Set.copyOf(inFlight.getOrDefault(request, Set.of()))
                        .forEach(RelayedRequest::abortCondemned);
            }
        }
    }
}
