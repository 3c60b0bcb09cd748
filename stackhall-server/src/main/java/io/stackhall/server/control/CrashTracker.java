package io.stackhall.server.control;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.quarantine.Acquittal;
import io.stackhall.core.quarantine.Crash;
import io.stackhall.core.quarantine.CrashLedger;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.Standing;
import io.stackhall.rpc.generated.fleet.AcquittalRecord;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.rpc.generated.fleet.CrashNotice;
import io.stackhall.rpc.generated.fleet.CrashRecord;
import io.stackhall.rpc.generated.fleet.Sentence;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.CrashCodec;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.json.Json;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Gathers on a control host which requests end instances, passes on what is new, and has the
 * control group agree on those that are refused, so that a restart of all hosts does not forget
 * them. Used on one event loop.
 */
final class CrashTracker {

    private static final Logger logger = LogManager.getLogger(CrashTracker.class);

    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(3);

    /** Each costs sixteen bytes in the control group's state and in what a new follower is told. */
    private static final int MAX_SENTENCED = 1000;

    private final EventLoop loop;
    private final Consumer<Frame> broadcast;
    private final ControlGroup group;
    private final CrashLedger ledger = new CrashLedger();
    private List<ByteString> sentenced = List.of();
    private boolean committing;

    /** The requests that are refused. */
    record Refusals(List<Refusal> refused) {}

    /**
     * One request that is refused.
     *
     * @param digest names it, as in the logs
     * @param instances the incarnations that ended under it, as far as this host remembers
     * @param secondsLeft how much longer it is refused
     */
    record Refusal(String digest, List<String> instances, long secondsLeft) {}

    /**
     * Creates a keeper that knows of nothing.
     *
     * @param broadcast sends a frame to the other control hosts, and to the entry hosts that rely
     *     on this one
     */
    CrashTracker(EventLoop loop, Consumer<Frame> broadcast, ControlGroup group) {
        this.loop = loop;
        this.broadcast = broadcast;
        this.group = group;
    }

    /** Takes in what an entry host or another control host tells, and passes on what is new. */
    void receive(CrashNotice notice) {
        long now = BootClock.nanos();
        CrashNotice.Builder unseen = CrashCodec.notice();
        for (CrashRecord record : notice.getCrashesList()) {
            Crash crash = CrashCodec.decode(record);
            if (ledger.recordCrash(crash, now)) {
                unseen.addCrashes(record);
                logger.info(
                        "crash.heard instance={} requests={}",
                        crash.incarnation(),
                        crash.requests());
            }
        }
        for (AcquittalRecord record : notice.getAcquittalsList()) {
            Acquittal acquittal = CrashCodec.decode(record);
            if (ledger.applyAcquittal(acquittal)) {
                unseen.addAcquittals(record);
                logger.info("crash.taken-back digest={}", acquittal.request());
            }
        }
        if (unseen.getCrashesCount() > 0 || unseen.getAcquittalsCount() > 0) {
            broadcast.accept(CrashCodec.frame(unseen));
        }
    }

    /** Takes over what the group has agreed on, and tells of it. */
    void applyCommitted(ControlSnapshot state) {
        if (state.getSentencedList().equals(sentenced)) {
            return;
        }
        List<ByteString> lifted = difference(sentenced, state.getSentencedList());
        sentenced = state.getSentencedList();
        ledger.applySentences(CrashCodec.decode(sentenced), BootClock.nanos());
        ledger.liftSentences(CrashCodec.decode(lifted));
        broadcast.accept(sentencesFrame(state, lifted));
    }

    /**
     * Returns what the group has agreed on, for an entry host that is about to be told its first
     * routes: without it, a host sent a request that is refused 2 ms before it heard so.
     */
    static Frame sentencesFrame(ControlSnapshot state) {
        return sentencesFrame(state, List.of());
    }

    private static Frame sentencesFrame(ControlSnapshot state, List<ByteString> lifted) {
        return CrashCodec.frame(
                CrashCodec.notice()
                        .setSentenced(
                                Sentence.newBuilder()
                                        .addAllAdded(state.getSentencedList())
                                        .addAllLifted(lifted)));
    }

    /** Returns all that is known, for a host that may know nothing. */
    Frame fullNotice() {
        return CrashCodec.frame(
                CrashCodec.notice()
                        .addAllCrashes(ledger.crashes().stream().map(CrashCodec::encode).toList())
                        .setSentenced(Sentence.newBuilder().addAllAdded(sentenced)));
    }

    /** Forgets what no longer counts. */
    void sweep() {
        ledger.sweep(BootClock.nanos());
    }

    /** Has the group agree on what this host holds against requests; for the leader alone. */
    void proposeSentences() {
        List<ByteString> condemned =
                CrashCodec.encode(ledger.condemned(BootClock.nanos())).stream()
                        .limit(MAX_SENTENCED)
                        .toList();
        List<ByteString> added = difference(condemned, sentenced);
        List<ByteString> lifted = difference(sentenced, condemned);
        if (committing || (added.isEmpty() && lifted.isEmpty())) {
            return;
        }
        committing = true;
        logger.info("sentences.proposed added={} lifted={}", added.size(), lifted.size());
        byte[] command = ControlStateMachine.sentenceCommand(added, lifted);
        Thread.startVirtualThread(
                () -> {
                    group.command(command, COMMIT_TIMEOUT);
                    loop.execute(() -> committing = false);
                });
    }

    /** Returns the requests that are refused now, as JSON that names each with its evidence. */
    byte[] refusedRequestsJson() {
        long now = BootClock.nanos();
        List<Refusal> all = new ArrayList<>();
        for (RequestDigest request : ledger.condemned(now)) {
            if (ledger.standing(request, now) instanceof Standing.Condemned(Duration remaining)) {
                List<String> incarnations =
                        ledger.incarnations(request).stream()
                                .map(UpstreamId::toString)
                                .sorted()
                                .toList();
                all.add(new Refusal(request.value(), incarnations, remaining.toSeconds()));
            }
        }
        return Json.write(Refusals.class, new Refusals(all));
    }

    /**
     * Has a request served again on all hosts: what was held against it counts no more, and the
     * group agrees to refuse it no longer. Ends that come later are held against it anew.
     *
     * @param operator who asks for it, for the log
     * @param onOutcome told whether the group has agreed, on another thread
     */
    void lift(RequestDigest request, String operator, Consumer<CommandOutcome> onOutcome) {
        logger.info("sentence.lift digest={} operator={}", request, operator);
        ledger.recordHarmlessEnd(request)
                .map(CrashCodec::encode)
                .map(CrashCodec.notice()::addAcquittals)
                .map(CrashCodec::frame)
                .ifPresent(broadcast);
        byte[] command =
                ControlStateMachine.liftCommand(
                        CrashCodec.encode(List.of(request)).getFirst(), operator);
        Thread.startVirtualThread(() -> onOutcome.accept(group.command(command, COMMIT_TIMEOUT)));
    }

    private static List<ByteString> difference(List<ByteString> all, List<ByteString> those) {
        List<ByteString> rest = new ArrayList<>(all);
        rest.removeAll(those);
        return rest;
    }
}
