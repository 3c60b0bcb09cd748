package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
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
import io.stackhall.server.relay.UpstreamClient;
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
 * Keeps the requests of one entry host that end instances from ending more of them, and shares with
 * the control hosts what it sees. Used on one event loop.
 */
final class Quarantine {

    private static final Logger logger = LogManager.getLogger(Quarantine.class);

    private final Dispatcher dispatcher;
    private final SuspectDispatcher suspectDispatcher;
    private final CrashProbe crashProbe;
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
            UpstreamClient upstreams,
            FleetMetrics metrics,
            Consumer<Frame> toControlHosts) {
        this.dispatcher = dispatcher;
        this.suspectDispatcher = new SuspectDispatcher(dispatcher, isolation);
        this.crashProbe = new CrashProbe(loop, upstreams);
        this.metrics = metrics;
        this.toControlHosts = toControlHosts;
    }

    /** Returns how a request stands. */
    Standing standing(RequestDigest request, long now) {
        return ledger.standing(request, now);
    }

    /** Decides where a suspect goes. */
    Choice choose(
            RequestDigest request,
            Need need,
            Predicate<UpstreamId> allowed,
            boolean late,
            long now) {
        return suspectDispatcher.choose(request, need, allowed, late, now);
    }

    /** Notes that a request is sent to an instance. */
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

    /** Notes that a request's answer has begun. */
    void answerBegun(RequestDigest request, UpstreamId instance) {
        isolation.end(instance, request);
    }

    /** Notes that a request has left its instance, however. */
    void attemptEnded(RequestDigest request, UpstreamId instance, RelayedRequest by) {
        isolation.end(instance, request);
        Set<RelayedRequest> copies = inFlight.get(request);
        if (copies != null && copies.remove(by) && copies.isEmpty()) {
            inFlight.remove(request);
        }
    }

    /** Notes that an instance has run a request to an end, and lives on. */
    void requestCompleted(RequestDigest request) {
        ledger.recordHarmlessEnd(request).ifPresent(this::publishAcquittal);
    }

    /**
     * Notes that an instance has broken a request off. If it has ended by itself, this is held
     * against the request, which goes on once that is known.
     *
     * @param sentAt when the request was sent, on the process's clock in nanoseconds
     */
    void attemptInterrupted(RequestDigest request, Instance instance, long sentAt, Runnable goOn) {
        if (pauseDetector.pausedSince(sentAt, BootClock.nanos()) || isExpectedToEnd(instance)) {
            goOn.run();
            return;
        }
        crashProbe.check(
                instance,
                ended -> {
                    unconfirmedCrashes.recordInterrupted(instance.id(), request, BootClock.nanos());
                    if (ended) {
                        incarnationCrashed(instance.id());
                    } else {
                        crashProbe.checkLater(instance, () -> incarnationCrashed(instance.id()));
                    }
                    goOn.run();
                });
    }

    /**
     * Notes that a request is given up whose instance may run it. The instance may end under it
     * when no connection is left to see that by.
     */
    void attemptAbandoned(RequestDigest request, Instance instance) {
        if (!isExpectedToEnd(instance)) {
            unconfirmedCrashes.recordInterrupted(instance.id(), request, BootClock.nanos());
        }
    }

    /** Takes in that a life of an instance is heard of. */
    void instanceAnnounced(UpstreamId life) {
        unconfirmedCrashes.confirmedBy(life, BootClock.nanos()).forEach(this::recordCrash);
    }

    /** Takes in what a control host tells. */
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

    /** Returns all that this host knows, for a control host that may know nothing. */
    Optional<Frame> fullNotice() {
        List<CrashRecord> all = ledger.crashes().stream().map(CrashCodec::encode).toList();
        return all.isEmpty()
                ? Optional.empty()
                : Optional.of(CrashCodec.frame(CrashCodec.notice().addAllCrashes(all)));
    }

    /** Notes that the process runs. */
    void tick() {
        pauseDetector.tick(BootClock.nanos());
    }

    /** Forgets what no longer counts. */
    void sweep() {
        ledger.sweep(BootClock.nanos());
        crashProbe.sweep();
    }

    /** Brings the measures of the present state up to date. */
    void updateMetrics() {
        metrics.state("suspects", ledger.size());
        metrics.state("refused_requests", ledger.condemned(BootClock.nanos()).size());
    }

    /** What drains, or has said that it ends, ends as planned. */
    private boolean isExpectedToEnd(Instance instance) {
        return dispatcher
                .find(instance.id())
                .filter(known -> known.state() == InstanceState.READY)
                .isEmpty();
    }

    /** Holds the end of a life against what left it just before. */
    private void incarnationCrashed(UpstreamId life) {
        Set<RequestDigest> those = unconfirmedCrashes.takeRequests(life, BootClock.nanos());
        if (!those.isEmpty()) {
            recordCrash(new Crash(life, those));
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

    /** Copies that are under way when a request is condemned may not have begun to run yet. */
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
