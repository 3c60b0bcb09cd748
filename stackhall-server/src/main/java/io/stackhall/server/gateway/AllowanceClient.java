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
    private static final Duration PATIENCE = Duration.ofMillis(100);

    /** How often a leader that did not answer is asked whether it does again. */
    private static final Duration PROBE = Duration.ofMillis(150);

    private final EventLoop loop;
    private final ControlWay way;
    private final OutageAllowance outage;
    private final IntSupplier entryHosts;
    private final Map<Long, Claim> claims = new LinkedHashMap<>();
    private List<AllowanceClaim> unsent = new ArrayList<>();
    private Optional<HostId> leader = Optional.empty();
    private long lastNumber;
    private boolean silent;
    private long probedAt;

    /** A request whose decision is awaited. */
    private record Claim(Customer customer, double cost, Consumer<AllowanceVerdict> decided) {}

    /**
     * Creates a client that knows of no leader.
     *
     * @param entryHosts tells how many entry hosts share what is allowed during outages
     */
    AllowanceClient(
            EventLoop loop, ControlWay way, OutageAllowance outage, IntSupplier entryHosts) {
        this.loop = loop;
        this.way = way;
        this.outage = outage;
        this.entryHosts = entryHosts;
    }

    /**
     * Asks for a request's part of its customer's allowance.
     *
     * @param returned what was granted for it before and has not been run
     * @param decided told of the decision, always later
     */
    void ask(Customer customer, double cost, double returned, Consumer<AllowanceVerdict> decided) {
        Claim claim = new Claim(customer, cost, decided);
        if (silent) {
            probe(BootClock.nanos());
            loop.execute(() -> decideAlone(claim));
            return;
        }
        long number = ++lastNumber;
        claims.put(number, claim);
        add(encode(number, claim).setReturned(returned).build());
        loop.schedule(() -> overdue(number), PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Gives back what was granted and has not been run. */
    void giveBack(Customer customer, double cost) {
        if (!silent) {
            add(
                    AllowanceClaim.newBuilder()
                            .setCustomer(customer.id().value())
                            .setReturned(cost)
                            .build());
        }
    }

    /** Takes in what a control host answers. */
    void received(AllowanceAnswer answer) {
        if (answer.getLeads()) {
            leader = Optional.of(new HostId(answer.getLeader()));
            if (silent) {
                silent = false;
                logger.info("allowance.granted-again leader={}", answer.getLeader());
            }
            answer.getDecisionsList().forEach(this::decided);
        } else if (!answer.getLeader().isEmpty()) {
            follow(new HostId(answer.getLeader()));
        }
    }

    /** Asks again, at another host, what nobody has decided yet. */
    private void follow(HostId next) {
        if (leader.filter(next::equals).isPresent()) {
            return;
        }
        leader = Optional.of(next);
        claims.forEach((number, claim) -> add(encode(number, claim).build()));
        if (silent) {
            probe(BootClock.nanos());
        }
    }

    private void decided(AllowanceDecision decision) {
        Claim claim = claims.remove(decision.getNumber());
        if (claim == null) {
            return;
        }
        claim.decided()
                .accept(
                        decision.getGranted()
                                ? new AllowanceVerdict.Granted()
                                : new AllowanceVerdict.Denied(
                                        Duration.ofMillis(decision.getRetryAfterMillis())));
    }

    /** What is granted after this is not given back: it was decided otherwise. */
    private void overdue(long number) {
        Claim claim = claims.remove(number);
        if (claim == null) {
            return;
        }
        if (!silent) {
            silent = true;
            logger.info("allowance.unanswered leader={}", leader.orElse(null));
        }
        probe(BootClock.nanos());
        decideAlone(claim);
    }

    private void decideAlone(Claim claim) {
        claim.decided()
                .accept(
                        outage.take(
                                claim.customer().id(),
                                claim.customer().limit().orElseThrow(),
                                claim.cost(),
                                entryHosts.getAsInt(),
                                BootClock.nanos()));
    }

    private void probe(long now) {
        if (now - probedAt < PROBE.toNanos()) {
            return;
        }
        probedAt = now;
        way.sendToAll(frame(List.of()));
    }

    private void add(AllowanceClaim claim) {
        unsent.add(claim);
        if (unsent.size() == 1) {
            loop.execute(this::flush);
        }
    }

    private void flush() {
        List<AllowanceClaim> together = unsent;
        unsent = new ArrayList<>();
        Optional<HostId> to = leader.or(() -> way.connected().stream().findFirst());
        boolean sent = to.filter(host -> way.send(host, frame(together))).isPresent();
        if (!sent) {
            leader = Optional.empty();
            probe(BootClock.nanos());
        }
    }

    private static AllowanceClaim.Builder encode(long number, Claim claim) {
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
