package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.customer.AllowanceVerdict;
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
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Asks the leader of the control group what customers may have run, several requests at a time.
 * While it does not answer, this host decides by its share for outages. Used on one event loop.
 */
final class AllowanceClient {

    private static final Logger logger = LogManager.getLogger(AllowanceClient.class);

    /** A sound leader answers within some milliseconds; the shortest objectives are 120 ms. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(100);

    /** How often a leader that did not answer is asked whether it does again. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(150);

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

    /** A request whose decision is awaited. */
    private record PendingClaim(
            Customer customer, double cost, Consumer<AllowanceVerdict> onDecision) {}

    /**
     * Creates a client that knows of no leader.
     *
     * @param entryHosts tells how many entry hosts share what is allowed during outages
     */
    AllowanceClient(
            EventLoop loop,
            ControlHostConnections way,
            OutageAllowance outage,
            IntSupplier entryHosts) {
        this.loop = loop;
        this.controlHosts = way;
        this.outageAllowance = outage;
        this.entryHostCount = entryHosts;
    }

    /**
     * Asks for a request's part of its customer's allowance.
     *
     * @param returned what was granted for it before and has not been run
     * @param decided told of the decision, always later
     */
    void claim(
            Customer customer, double cost, double returned, Consumer<AllowanceVerdict> decided) {
        PendingClaim claim = new PendingClaim(customer, cost, decided);
        if (leaderUnresponsive) {
            probe(BootClock.nanos());
            loop.execute(() -> decideLocally(claim));
            return;
        }
        long number = ++lastClaimNumber;
        pendingClaims.put(number, claim);
        enqueue(encode(number, claim).setReturned(returned).build());
        loop.schedule(
                () -> handleTimeout(number), ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Gives back what was granted and has not been run. */
    void returnUnused(Customer customer, double cost) {
        if (!leaderUnresponsive) {
            enqueue(
                    AllowanceClaim.newBuilder()
                            .setCustomer(customer.id().value())
                            .setReturned(cost)
                            .build());
        }
    }

    /** Takes in what a control host answers. */
    void receive(AllowanceAnswer answer) {
        if (answer.getLeads()) {
            leader = Optional.of(new HostId(answer.getLeader()));
            if (leaderUnresponsive) {
                leaderUnresponsive = false;
                logger.info("allowance.granted-again leader={}", answer.getLeader());
            }
            answer.getDecisionsList().forEach(this::applyDecision);
        } else if (!answer.getLeader().isEmpty()) {
            switchLeader(new HostId(answer.getLeader()));
        }
    }

    /** Asks again, at another host, what nobody has decided yet. */
    private void switchLeader(HostId next) {
        if (leader.filter(next::equals).isPresent()) {
            return;
        }
        leader = Optional.of(next);
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
                .accept(
                        decision.getGranted()
                                ? new AllowanceVerdict.Granted()
                                : new AllowanceVerdict.Denied(
                                        Duration.ofMillis(decision.getRetryAfterMillis())));
    }

    /** What is granted after this is not given back: it was decided otherwise. */
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
                .accept(
                        outageAllowance.take(
                                claim.customer().id(),
                                claim.customer().limit().orElseThrow(),
                                claim.cost(),
                                entryHostCount.getAsInt(),
                                BootClock.nanos()));
    }

    private void probe(long now) {
        if (now - lastProbeAt < PROBE_INTERVAL.toNanos()) {
            return;
        }
        lastProbeAt = now;
        controlHosts.sendToAll(frame(List.of()));
    }

    private void enqueue(AllowanceClaim claim) {
        unsent.add(claim);
        if (unsent.size() == 1) {
            loop.execute(this::flush);
        }
    }

    private void flush() {
        List<AllowanceClaim> together = unsent;
        unsent = new ArrayList<>();
        Optional<HostId> to = leader.or(() -> controlHosts.connected().stream().findFirst());
        boolean sent = to.filter(host -> controlHosts.send(host, frame(together))).isPresent();
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

    private static Frame frame(List<AllowanceClaim> claims) {
        return Frame.newBuilder()
                .setAllowanceAsk(AllowanceAsk.newBuilder().addAllClaims(claims))
                .build();
    }
}
