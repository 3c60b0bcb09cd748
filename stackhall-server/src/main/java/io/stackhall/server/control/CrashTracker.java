package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.quarantine.Acquittal;
import io.stackhall.core.quarantine.Crash;
import io.stackhall.core.quarantine.CrashCause;
import io.stackhall.core.quarantine.CrashLedger;
import io.stackhall.core.quarantine.Standing;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.rpc.generated.fleet.CrashNotice;
import io.stackhall.rpc.generated.fleet.CrashRecord;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.CrashCodec;
import io.stackhall.server.group.CommandOutcome;
import io.stackhall.server.json.Json;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Collects on a control host which requests and parts of prompts crash instances and forwards new
 * records to other hosts. What is refused (sentences) is committed by the control group, so that it
 * survives a restart of all hosts. Confined to one event loop.
 */
final class CrashTracker {

    private static final Logger logger = LogManager.getLogger(CrashTracker.class);

    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(3);

    /** Each takes 18 bytes in the control group's state and in the notice to a new follower. */
    private static final int MAX_SENTENCED = 1000;

    private final EventLoop loop;
    private final Consumer<Frame> broadcast;
    private final ControlGroup group;
    private final CrashLedger ledger = new CrashLedger();
    private Set<CrashCause> sentenced = Set.of();
    private boolean committing;

    /** What is refused, as listed for an operator. */
    record Refusals(List<Refusal> refused) {}

    /**
     * A refused request, or part of prompts.
     *
     * @param digest identifies the request or part, as in the logs
     * @param kind "request" or "part"
     * @param instances the incarnations that it crashed, as far as this host remembers
     * @param secondsLeft how many more seconds it is refused
     */
    record Refusal(String digest, String kind, List<String> instances, long secondsLeft) {}

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
                        "crash.heard instance={} causes={}", crash.incarnation(), crash.causes());
            }
        }
        boolean acquitted = false;
        for (Acquittal acquittal : CrashCodec.acquittals(notice)) {
            if (ledger.applyAcquittal(acquittal)) {
                CrashCodec.add(unseen, acquittal);
                acquitted = true;
                logger.info("crash.taken-back digest={}", acquittal.cause());
            }
        }
        if (acquitted || unseen.getCrashesCount() > 0) {
            broadcast.accept(CrashCodec.frame(unseen));
        }
    }

    /** Applies the sentences that the group has committed, and notifies other hosts of them. */
    void applyCommitted(ControlSnapshot state) {
        Set<CrashCause> next = Set.copyOf(CrashCodec.sentenced(state));
        if (next.equals(sentenced)) {
            return;
        }
        Set<CrashCause> lifted = difference(sentenced, next);
        sentenced = next;
        ledger.applySentences(sentenced, BootClock.nanos());
        ledger.liftSentences(lifted);
        broadcast.accept(sentencesFrame(sentenced, lifted));
    }

    /**
     * Returns the committed sentences, for an entry host that is about to receive its first routes.
     * Without them, a host sent a refused request 2 ms before it learned of the refusal.
     */
    static Frame sentencesFrame(ControlSnapshot state) {
        return sentencesFrame(CrashCodec.sentenced(state), Set.of());
    }

    private static Frame sentencesFrame(Collection<CrashCause> all, Set<CrashCause> lifted) {
        return CrashCodec.frame(CrashCodec.notice().setSentenced(CrashCodec.sentence(all, lifted)));
    }

    /** Returns all known crashes and sentences, for a host that may have received none yet. */
    Frame fullNotice() {
        return CrashCodec.frame(
                CrashCodec.notice()
                        .addAllCrashes(ledger.crashes().stream().map(CrashCodec::encode).toList())
                        .setSentenced(CrashCodec.sentence(sentenced, Set.of())));
    }

    /** Removes expired records. */
    void sweep() {
        ledger.sweep(BootClock.nanos());
    }

    /** Proposes what this host condemns to the group. Called on the leader only. */
    void proposeSentences() {
        Set<CrashCause> condemned =
                ledger.condemned(BootClock.nanos()).stream()
                        .limit(MAX_SENTENCED)
                        .collect(Collectors.toSet());
        Set<CrashCause> added = difference(condemned, sentenced);
        Set<CrashCause> lifted = difference(sentenced, condemned);
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

    /** Returns what is refused now, each with its evidence, as JSON. */
    byte[] refusedRequestsJson() {
        long now = BootClock.nanos();
        List<Refusal> all = new ArrayList<>();
        for (CrashCause cause : ledger.condemned(now)) {
            if (ledger.standing(cause, now) instanceof Standing.Condemned condemned) {
                all.add(refusal(condemned));
            }
        }
        return Json.write(Refusals.class, new Refusals(all));
    }

    private Refusal refusal(Standing.Condemned condemned) {
        CrashCause cause = condemned.cause();
        List<String> incarnations =
                ledger.incarnations(cause).stream().map(UpstreamId::toString).sorted().toList();
        return new Refusal(cause.value(), cause.kind(), incarnations, condemned.left().toSeconds());
    }

    /**
     * Lifts the refusal of a request or part of prompts on all hosts: discards the evidence against
     * it, and has the group commit that it is served again. Later crashes count against it anew.
     * This host need not know of it: it may have started since, and others may still refuse it.
     *
     * @param digest identifies the request or part, as in the logs
     * @param operator the operator who requested it, for the log
     * @param onOutcome called with the outcome of the commit, on another thread
     */
    void lift(String digest, String operator, Consumer<CommandOutcome> onOutcome) {
        logger.info("sentence.lift digest={} operator={}", digest, operator);
        List<CrashCause> causes = CrashCause.allOf(digest);
        for (CrashCause cause : causes) {
            ledger.acquit(cause)
                    .ifPresent(
                            acquittal -> {
                                CrashNotice.Builder notice = CrashCodec.notice();
                                CrashCodec.add(notice, acquittal);
                                broadcast.accept(CrashCodec.frame(notice));
                            });
        }
        byte[] command = ControlStateMachine.liftCommand(causes, operator);
        Thread.startVirtualThread(() -> onOutcome.accept(group.command(command, COMMIT_TIMEOUT)));
    }

    private static Set<CrashCause> difference(Set<CrashCause> all, Set<CrashCause> those) {
        Set<CrashCause> rest = new HashSet<>(all);
        rest.removeAll(those);
        return rest;
    }
}
