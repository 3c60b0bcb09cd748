package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

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

    private final Map<CustomerId, CustomerAllowance> allowances = new HashMap<>();
    private Customers configure = Customers.unrestricted();

    /** Applies the customers of a configuration. */
    public void configure(Customers next, long now) {
        configure = next;
        allowances.keySet().removeIf(id -> next.findById(id).isEmpty());
        for (Customer customer : next.all()) {
            CustomerAllowance allowance = allowances.get(customer.id());
            if (customer.limit().isEmpty()) {
                allowances.remove(customer.id());
            } else if (allowance == null) {
                allowances.put(customer.id(), new CustomerAllowance(customer.limit().get(), now));
            } else {
                allowance.limit(customer.limit().get(), now);
            }
        }
    }

    /**
     * Starts over when this host has become the leader. What its predecessor granted is not known,
     * so all that the limits allowed is assumed to have been granted.
     */
    public void reset(long now) {
        allowances.clear();
        configure(configure, now);
    }

    /**
     * Takes the cost of a request from its customer's allowance, if that has capacity.
     *
     * @param cost the cost in units of the customer's limit
     */
    public AllowanceVerdict take(CustomerId customer, double cost, long now) {
        CustomerAllowance allowance = allowances.get(customer);
        if (allowance != null) {
            return allowance.take(cost, now);
        }
        return configure.findById(customer).isPresent()
                ? new AllowanceVerdict.Granted()
                : new AllowanceVerdict.Denied(UNKNOWN_RETRY);
    }

    /** Refunds the cost of a request that was granted and has not run. */
    public void refund(CustomerId customer, double cost, long now) {
        CustomerAllowance allowance = allowances.get(customer);
        if (allowance != null) {
            allowance.refund(cost, now);
        }
    }
}
