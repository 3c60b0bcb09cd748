package io.stackhall.server.control;

import io.stackhall.core.customer.AllowanceManager;
import io.stackhall.core.customer.AllowanceVerdict;
import io.stackhall.core.customer.AnswerReceipt;
import io.stackhall.core.customer.Customers;
import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.HostId;
import io.stackhall.rpc.generated.fleet.AllowanceAnswer;
import io.stackhall.rpc.generated.fleet.AllowanceAsk;
import io.stackhall.rpc.generated.fleet.AllowanceClaim;
import io.stackhall.rpc.generated.fleet.AllowanceDecision;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.peer.Replier;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Grants customers' allowances to entry hosts while this host leads the control group. Confined to
 * one event loop.
 */
final class AllowanceService {

    private final ControlGroup group;
    private final IntSupplier entryHostCount;
    private final RandomGenerator random;
    private final AllowanceManager manager = new AllowanceManager();
    private boolean leading;

    /**
     * Creates the service of a host that does not lead.
     *
     * @param entryHostCount supplies the number of entry hosts that follow this host
     */
    AllowanceService(ControlGroup group, IntSupplier entryHostCount, RandomGenerator random) {
        this.group = group;
        this.entryHostCount = entryHostCount;
        this.random = random;
    }

    /** Applies the customers of the newest configuration. */
    void setCustomers(Customers next) {
        manager.configure(next, BootClock.nanos());
    }

    /**
     * Sets whether this host leads the control group. What the predecessor granted is not known, so
     * a new leader assumes that all allowances are used up.
     */
    void setLeading(boolean leads) {
        leading = leads;
        if (leads) {
            manager.reset(random.nextLong(1, Long.MAX_VALUE), BootClock.nanos());
        }
    }

    /** Decides the claims of an entry host if this host leads; otherwise only names the leader. */
    void handle(AllowanceAsk request, Replier replier) {
        AllowanceAnswer.Builder answer =
                AllowanceAnswer.newBuilder()
                        .setLeader(group.leader().map(HostId::value).orElse(""));
        if (leading && group.leads()) {
            answer.setLeads(true);
            recordQuestion(request, answer);
            request.getClaimsList().forEach(claim -> decide(claim, answer));
        }
        replier.send(Frame.newBuilder().setAllowanceAnswer(answer).build());
    }

    private void recordQuestion(AllowanceAsk request, AllowanceAnswer.Builder answer) {
        long now = BootClock.nanos();
        manager.setFollowerCount(entryHostCount.getAsInt(), now);
        if (request.getHost().isEmpty()) {
            manager.recordQuestionOfOlderVersion(now);
        } else {
            manager.recordQuestion(
                    new HostId(request.getHost()),
                    new AnswerReceipt(
                            request.getLeadership(), request.getAskedAt(), request.getEntryHosts()),
                    now);
        }
        manager.receipt(now)
                .ifPresent(
                        receipt ->
                                answer.setLeadership(receipt.leadership())
                                        .setAskedAt(receipt.askedAt())
                                        .setEntryHosts(receipt.entryHosts()));
    }

    private void decide(AllowanceClaim claim, AllowanceAnswer.Builder answer) {
        long now = BootClock.nanos();
        CustomerId customer = new CustomerId(claim.getCustomer());
        if (claim.getReturned() > 0) {
            manager.refund(customer, claim.getReturned(), now);
        }
        if (claim.getNumber() != 0) {
            answer.addDecisions(
                    encode(claim.getNumber(), manager.take(customer, claim.getCost(), now)));
        }
    }

    private static AllowanceDecision encode(long number, AllowanceVerdict verdict) {
        AllowanceDecision.Builder decision = AllowanceDecision.newBuilder().setNumber(number);
        return switch (verdict) {
            case AllowanceVerdict.Granted() -> decision.setGranted(true).build();
            case AllowanceVerdict.Denied(var retryAfter) ->
                    decision.setRetryAfterMillis(retryAfter.toMillis()).build();
        };
    }
}
