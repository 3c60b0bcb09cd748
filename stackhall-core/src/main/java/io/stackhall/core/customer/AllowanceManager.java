package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.HostId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Grants requests of all hosts within their customers' limits. It runs at the leader of the control
 * group, so that only one is active at a time.
 *
 * <p>Load pattern: a customer sends many times its usual load through some of the hosts, while
 * other customers send less than one request a second through each host. A fixed share of a limit
 * per host would be less than one request; docs/design/customers.md compares the alternatives.
 * Moments are in nanoseconds.
 */
public final class AllowanceManager {

    /**
     * A customer that is unknown here is part of a configuration that is still being distributed.
     */
    private static final Duration UNKNOWN_RETRY = Duration.ofMillis(300);

    /**
     * Denials assume that at least this share of a limit can be granted soon. A new leader, which
     * reserves all shares at first, would otherwise send callers away for too long.
     */
    private static final double MIN_EXPECTED_SHARE = 0.5;

    private final Map<CustomerId, CustomerAllowance> allowances = new HashMap<>();
    private Customers customers = Customers.unrestricted();
    private Optional<ReservedShares> shares = Optional.empty();

    /** Applies the customers of a configuration. */
    public void configure(Customers next, long now) {
        customers = next;
        long clock = clock(now);
        allowances.keySet().removeIf(id -> next.findById(id).isEmpty());
        for (Customer customer : next.all()) {
            CustomerAllowance allowance = allowances.get(customer.id());
            if (customer.limit().isEmpty()) {
                allowances.remove(customer.id());
            } else if (allowance == null) {
                allowances.put(customer.id(), new CustomerAllowance(customer.limit().get(), clock));
            } else {
                allowance.limit(customer.limit().get(), clock);
            }
        }
    }

    /**
     * Starts over when this host has become the leader. What its predecessor granted is not known,
     * so all that the limits allowed is assumed to have been granted.
     */
    public void reset(long now) {
        allowances.clear();
        configure(customers, now);
    }

    /**
     * Starts over as {@link #reset(long)} does, and from now on reserves the shares of entry hosts
     * that may be using them on their own. All shares are reserved until their hosts are heard of.
     *
     * @param leadership names this leadership in answers and receipts, unique and not 0
     */
    public void reset(long leadership, long now) {
        shares = Optional.of(new ReservedShares(leadership, now));
        reset(now);
    }

    /** Records a question of a named host, with the receipt of the last answer to it. */
    public void recordQuestion(HostId host, AnswerReceipt receipt, long now) {
        shares.ifPresent(reserved -> reserved.recordQuestion(host, receipt, now));
    }

    /** Records a question of a host of an earlier version, which does not tell its name. */
    public void recordQuestionOfOlderVersion(long now) {
        shares.ifPresent(reserved -> reserved.recordQuestionOfOlderVersion(now));
    }

    /** Sets the number of entry hosts that are connected to this control host. */
    public void setFollowerCount(int count, long now) {
        shares.ifPresent(reserved -> reserved.setFollowerCount(count, now));
    }

    /**
     * Returns what an answer to a question received now proves once it is received, empty if shares
     * are not reserved for all hosts.
     */
    public Optional<AnswerReceipt> receipt(long now) {
        return shares.filter(reserved -> reserved.reservesAll(now))
                .map(
                        reserved ->
                                new AnswerReceipt(
                                        reserved.leadership(), now, reserved.entryHosts(now)));
    }

    /**
     * Takes the cost of a request from its customer's allowance, if that has capacity.
     *
     * @param cost the cost in units of the customer's limit
     */
    public AllowanceVerdict take(CustomerId customer, double cost, long now) {
        CustomerAllowance allowance = allowances.get(customer);
        if (allowance != null) {
            return scaleDenial(allowance.take(cost, clock(now)), now);
        }
        return customers.findById(customer).isPresent()
                ? new AllowanceVerdict.Granted()
                : new AllowanceVerdict.Denied(UNKNOWN_RETRY);
    }

    /** Refunds the cost of a request that was granted and has not run. */
    public void refund(CustomerId customer, double cost, long now) {
        CustomerAllowance allowance = allowances.get(customer);
        if (allowance != null) {
            allowance.refund(cost, clock(now));
        }
    }

    private AllowanceVerdict scaleDenial(AllowanceVerdict verdict, long now) {
        if (verdict instanceof AllowanceVerdict.Denied(Duration after) && shares.isPresent()) {
            double share = Math.max(MIN_EXPECTED_SHARE, shares.get().share(now));
            return new AllowanceVerdict.Denied(
                    Duration.ofNanos(Math.round(after.toNanos() / share)));
        }
        return verdict;
    }

    /** Returns the clock of the allowances, which runs slower while shares are reserved. */
    private long clock(long now) {
        return shares.map(reserved -> reserved.clock(now)).orElse(now);
    }
}
