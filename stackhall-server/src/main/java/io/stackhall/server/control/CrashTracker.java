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
 * Collects on a control host which requests crash instances and forwards new records to other
 * hosts. The refused requests (sentences) are committed by the control group, so that they survive
 * a restart of all hosts. Confined to one event loop.
 */
final class CrashTracker {

    private static final Logger logger = LogManager.getLogger(CrashTracker.class);

    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(3);

    /** Each takes 16 bytes in the control group's state and in the notice to a new follower. */
    private static final int MAX_SENTENCED = 1000;

    private final EventLoop loop;
    private final Consumer<Frame> broadcast;
    private final ControlGroup group;
    private final CrashLedger ledger = new CrashLedger();
    private List<ByteString> sentenced = List.of();
    private boolean committing;

    /** The refused requests, as listed for an operator. */
    record Refusals(List<Refusal> refused) {}

    /**
     * A refused request.
     *
     * @param digest identifies the request, as in the logs
     * @param instances the incarnations that it crashed, as far as this host remembers
     * @param secondsLeft how many more seconds it is refused
     */
    record Refusal(String digest, List<String> instances, long secondsLeft) {}

    /**
     * Creates an empty tracker.
     *
     * @param broadcast sends a frame to the other control hosts, and to the entry hosts whose
     *     primary is this host
     */
    CrashTracker(EventLoop loop, Consumer<Frame> broadcast, ControlGroup group) {
        this.loop = loop;
        this.broadcast = broadcast;
        this.group = group;
    }

    /** Records a notice from an entry host or another control host, and forwards new records. */
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

    /** Applies the sentences that the group has committed, and notifies other hosts of them. */
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
     * Returns the committed sentences, for an entry host that is about to receive its first routes.
     * Without them, a host sent a refused request 2 ms before it learned of the refusal.
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

    /** Returns all known crashes and sentences, for a host that may have received none yet. */
    Frame fullNotice() {
        return CrashCodec.frame(
                CrashCodec.notice()
                        .addAllCrashes(ledger.crashes().stream().map(CrashCodec::encode).toList())
                        .setSentenced(Sentence.newBuilder().addAllAdded(sentenced)));
    }

    /** Removes expired records. */
    void sweep() {
        ledger.sweep(BootClock.nanos());
    }

    /** Proposes the requests that this host condemns to the group. Called on the leader only. */
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

    /** Returns the requests that are refused now, each with its evidence, as JSON. */
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
     * Lifts the refusal of a request on all hosts: discards the evidence against it, and has the
     * group commit that it is served again. Later crashes count against it anew.
     *
     * @param operator the operator who requested it, for the log
     * @param onOutcome called with the outcome of the commit, on another thread
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
