package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Grants requests for all hosts together what their customers' limits allow. The leader of the
 * control group keeps it, so that there is one at a time.
 *
 * <p>The load that it answers: a customer that sends many times its usual through some of the
 * hosts, while each of the others asks for less than one request a second at each host. A host's
 * fixed share of a limit would be less than one request; see docs/design/customers.md for the ways
 * that were weighed. Moments are in nanoseconds.
 */
public final class AllowanceManager {

    /** The customer or its limit is about to be known here: a configuration is under way. */
    private static final Duration UNKNOWN_RETRY = Duration.ofMillis(300);

    private final Map<CustomerId, CustomerAllowance> allowances = new HashMap<>();
    private Customers configure = Customers.unrestricted();

    /** Puts the customers of a configuration into force. */
    public void configure(Customers next, long now) {
        configure = next;
        allowances.keySet().removeIf(id -> next.findById(id).isEmpty());
        for (Customer customer : next.all()) {
            CustomerAllowance held = allowances.get(customer.id());
            if (customer.limit().isEmpty()) {
                allowances.remove(customer.id());
            } else if (held == null) {
                allowances.put(customer.id(), new CustomerAllowance(customer.limit().get(), now));
            } else {
                held.limit(customer.limit().get(), now);
            }
        }
    }

    /**
     * Begins anew, when this host has become the one keeper. What its predecessor granted is not
     * known; it is taken for all that the limits allowed.
     */
    public void reset(long now) {
        allowances.clear();
        configure(configure, now);
    }

    /** Decides about a request of a customer. */
    public AllowanceVerdict take(CustomerId customer, double cost, long now) {
        CustomerAllowance held = allowances.get(customer);
        if (held != null) {
            return held.take(cost, now);
        }
        return configure.findById(customer).isPresent()
                ? new AllowanceVerdict.Granted()
                : new AllowanceVerdict.Denied(UNKNOWN_RETRY);
    }

    /** Takes back the cost of a request that was granted and has not run. */
    public void refund(CustomerId customer, double cost, long now) {
        CustomerAllowance held = allowances.get(customer);
        if (held != null) {
            held.refund(cost, now);
        }
    }
}
