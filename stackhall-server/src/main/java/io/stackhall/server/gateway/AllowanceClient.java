package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.customer.AllowanceVerdict;
import io.stackhall.core.customer.AnswerReceipt;
import io.stackhall.core.customer.Customer;
import io.stackhall.core.customer.OutageAllowance;
import io.stackhall.core.id.HostId;
import io.stackhall.rpc.generated.fleet.AllowanceAnswer;
import io.stackhall.rpc.generated.fleet.AllowanceAsk;
import io.stackhall.rpc.generated.fleet.AllowanceClaim;
import io.stackhall.rpc.generated.fleet.AllowanceDecision;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Claims customers' allowances for requests from the leader of the control group, several claims in
 * one message. While the leader does not answer, this host decides from its share of the {@link
 * OutageAllowance}. Not thread-safe: confined to one event loop.
 */
final class AllowanceClient {

    private static final Logger logger = LogManager.getLogger(AllowanceClient.class);

    /**
     * A healthy leader answers within some milliseconds. Waiting longer would use up the latency
     * objective of short requests.
     */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(100);

    /**
     * The answer timeout is counted in this many steps, each in a later iteration of the event loop
     * than the one before. A delay of the event loop thus counts as one step at most, and an answer
     * that arrived during the delay is read before the next step.
     */
    private static final int ANSWER_TIMEOUT_STEPS = 4;

    /** Minimum time between two probes of a leader that has not answered. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(150);

    /**
     * Longest time between two questions. Several fit into the time after which the leader reserves
     * this host's share of the limits, and each tells it that the answer before has arrived.
     */
    private static final Duration QUESTION_INTERVAL = Duration.ofMillis(250);

    /** How often {@link #keepReachable} is to be called. */
    static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    private final HostId self;
    private final EventLoop loop;
    private final ControlHostConnections controlHosts;
    private final OutageAllowance outageAllowance;
    private final IntSupplier entryHostCount;
    private final Map<Long, PendingClaim> pendingClaims = new LinkedHashMap<>();
    private List<AllowanceClaim> unsent = new ArrayList<>();
    private Optional<HostId> leader = Optional.empty();
    private long lastClaimNumber;
    private boolean leaderUnresponsive;
    private long lastProbeAt;
    private boolean limitsInForce;
    private AnswerReceipt lastReceipt = AnswerReceipt.NONE;
    private long lastQuestionAt = BootClock.nanos();

    /** Receives the decision on a claim. */
    @FunctionalInterface
    interface DecisionListener {
        /**
         * Called once.
         *
         * @param byLeader whether the leader decided; only what it granted can be returned to it
         */
        void decided(AllowanceVerdict verdict, boolean byLeader);
    }

    /** A claim that has not been decided. */
    private record PendingClaim(Customer customer, double cost, DecisionListener onDecision) {}

    /**
     * Creates a client that does not know the leader yet.
     *
     * @param self the peer name of this host
     * @param entryHostCount supplies the number of entry hosts that share the outage allowance
     */
    AllowanceClient(
            HostId self,
            EventLoop loop,
            ControlHostConnections controlHosts,
            OutageAllowance outageAllowance,
            IntSupplier entryHostCount) {
        this.self = self;
        this.loop = loop;
        this.controlHosts = controlHosts;
        this.outageAllowance = outageAllowance;
        this.entryHostCount = entryHostCount;
    }

    /**
     * Claims a request's cost from its customer's allowance.
     *
     * @param returned the cost of an earlier, unused grant to the same request, 0 if none
     * @param onDecision called with the decision in a later task of the event loop, never before
     *     this method returns
     */
    void claim(Customer customer, double cost, double returned, DecisionListener onDecision) {
        PendingClaim claim = new PendingClaim(customer, cost, onDecision);
        if (leaderUnresponsive) {
            probe(BootClock.nanos());
            loop.execute(() -> decideLocally(claim));
            return;
        }
        long number = ++lastClaimNumber;
        pendingClaims.put(number, claim);
        enqueue(encode(number, claim).setReturned(returned).build());
        awaitAnswer(number, ANSWER_TIMEOUT_STEPS);
    }

    private void awaitAnswer(long number, int steps) {
        if (steps == 0) {
            handleTimeout(number);
        } else if (pendingClaims.containsKey(number)) {
            loop.schedule(
                    () -> awaitAnswer(number, steps - 1),
                    ANSWER_TIMEOUT.toNanos() / ANSWER_TIMEOUT_STEPS,
                    TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Returns the cost of a grant whose request was not run; a no-op while the leader is silent.
     */
    void returnUnused(Customer customer, double cost) {
        if (!leaderUnresponsive) {
            enqueue(
                    AllowanceClaim.newBuilder()
                            .setCustomer(customer.id().value())
                            .setReturned(cost)
                            .build());
        }
    }

    /** Sets whether any customer has a limit; without limits nothing is asked. */
    void setLimitsInForce(boolean inForce) {
        limitsInForce = inForce;
    }

    /**
     * Asks the leader if nothing has been asked for a while, so that it does not reserve this
     * host's share of the limits.
     */
    void keepReachable() {
        long now = BootClock.nanos();
        if (!limitsInForce || now - lastQuestionAt < QUESTION_INTERVAL.toNanos()) {
            return;
        }
        if (leaderUnresponsive) {
            probe(now);
        } else if (unsent.isEmpty()) {
            flush();
        }
    }

    /** Handles a control host's answer, which holds decisions or names the current leader. */
    void receive(AllowanceAnswer answer) {
        if (answer.getLeads()) {
            leader = Optional.of(new HostId(answer.getLeader()));
            if (leaderUnresponsive) {
                leaderUnresponsive = false;
                logger.info("allowance.granted-again leader={}", answer.getLeader());
            }
            recordAnswer(answer);
            answer.getDecisionsList().forEach(this::applyDecision);
        } else if (!answer.getLeader().isEmpty()) {
            switchLeader(new HostId(answer.getLeader()));
        }
    }

    /**
     * Records the receipt of a leader's answer. A new leader is told of it at once, since it
     * reserves this host's share until then.
     */
    private void recordAnswer(AllowanceAnswer answer) {
        boolean reserves = answer.getLeadership() != 0;
        outageAllowance.answered(reserves, answer.getEntryHosts(), BootClock.nanos());
        if (!reserves) {
            return;
        }
        boolean newLeadership = answer.getLeadership() != lastReceipt.leadership();
        if (newLeadership || answer.getAskedAt() - lastReceipt.askedAt() > 0) {
            lastReceipt =
                    new AnswerReceipt(
                            answer.getLeadership(), answer.getAskedAt(), answer.getEntryHosts());
        }
        if (newLeadership && unsent.isEmpty()) {
            flush();
        }
    }

    /** Resends all undecided claims to a newly named leader. */
    private void switchLeader(HostId newLeader) {
        if (leader.filter(newLeader::equals).isPresent()) {
            return;
        }
        leader = Optional.of(newLeader);
        pendingClaims.forEach((number, claim) -> enqueue(encode(number, claim).build()));
        if (leaderUnresponsive) {
            probe(BootClock.nanos());
        }
    }

    private void applyDecision(AllowanceDecision decision) {
        PendingClaim claim = pendingClaims.remove(decision.getNumber());
        if (claim == null) {
            return;
        }
        claim.onDecision()
                .decided(
                        decision.getGranted()
                                ? new AllowanceVerdict.Granted()
                                : new AllowanceVerdict.Denied(
                                        Duration.ofMillis(decision.getRetryAfterMillis())),
                        true);
    }

    /**
     * Decides a claim locally that the leader has not answered in time. A grant that arrives
     * afterwards is not returned, since the request was decided without it.
     */
    private void handleTimeout(long number) {
        PendingClaim claim = pendingClaims.remove(number);
        if (claim == null) {
            return;
        }
        if (!leaderUnresponsive) {
            leaderUnresponsive = true;
            logger.info("allowance.unanswered leader={}", leader.orElse(null));
        }
        probe(BootClock.nanos());
        decideLocally(claim);
    }

    private void decideLocally(PendingClaim claim) {
        claim.onDecision()
                .decided(
                        outageAllowance.take(
                                claim.customer().id(),
                                claim.customer().limit().orElseThrow(),
                                claim.cost(),
                                entryHostCount.getAsInt(),
                                BootClock.nanos()),
                        false);
    }

    private void probe(long now) {
        if (now - lastProbeAt < PROBE_INTERVAL.toNanos()) {
            return;
        }
        lastProbeAt = now;
        lastQuestionAt = now;
        controlHosts.sendToAll(frame(List.of()));
    }

    private void enqueue(AllowanceClaim claim) {
        unsent.add(claim);
        if (unsent.size() == 1) {
            loop.execute(this::flush);
        }
    }

    private void flush() {
        lastQuestionAt = BootClock.nanos();
        List<AllowanceClaim> batch = unsent;
        unsent = new ArrayList<>();
        Optional<HostId> target = leader.or(() -> controlHosts.connected().stream().findFirst());
        boolean sent = target.filter(host -> controlHosts.send(host, frame(batch))).isPresent();
        if (!sent) {
            leader = Optional.empty();
            probe(BootClock.nanos());
        }
    }

    private static AllowanceClaim.Builder encode(long number, PendingClaim claim) {
        return AllowanceClaim.newBuilder()
                .setNumber(number)
                .setCustomer(claim.customer().id().value())
                .setCost(claim.cost());
    }

    private Frame frame(List<AllowanceClaim> claims) {
        return Frame.newBuilder()
                .setAllowanceAsk(
                        AllowanceAsk.newBuilder()
                                .addAllClaims(claims)
                                .setHost(self.value())
                                .setLeadership(lastReceipt.leadership())
                                .setAskedAt(lastReceipt.askedAt())
                                .setEntryHosts(lastReceipt.entryHosts()))
                .build();
    }
}
