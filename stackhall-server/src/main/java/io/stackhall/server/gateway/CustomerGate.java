package io.stackhall.server.gateway;

import io.stackhall.core.customer.Customer;
import io.stackhall.core.customer.CustomerLimit;
import io.stackhall.core.customer.Customers;
import io.stackhall.core.customer.KeyAccess;
import io.stackhall.core.customer.KeyDigest;
import io.stackhall.core.customer.KeyLease;
import io.stackhall.core.customer.OutageAllowance;
import io.stackhall.core.route.Route;
import io.stackhall.server.clock.BootClock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Who may send requests through one entry host. Used on one event loop. */
final class CustomerGate {

    private final KeyLease trust;
    private final OutageAllowance outage;
    private final AllowanceClient allowances;
    private Customers customers = Customers.unrestricted();

    /** Creates the gate of a host that knows no configuration yet. */
    CustomerGate(KeyLease trust, OutageAllowance outage, AllowanceClient allowances) {
        this.trust = trust;
        this.outage = outage;
        this.allowances = allowances;
    }

    /** Puts the customers of a configuration into force. */
    void customers(Customers next) {
        customers = next;
        long now = BootClock.nanos();
        next.all().forEach(customer -> outage.addCustomer(customer.id(), now));
    }

    /**
     * Notes that a quorum has confirmed the configuration in force.
     *
     * @param askedAt when this host asked for it, on the process's clock in nanoseconds
     */
    void confirmed(long askedAt) {
        trust.renew(askedAt);
    }

    /** Returns whether requests with keys can be taken, if any are needed. */
    boolean ready() {
        return !customers.keysRequired() || trust.isValid(BootClock.nanos());
    }

    /** Returns how long ago a quorum confirmed the configuration in force. */
    Duration trustAge() {
        return trust.age(BootClock.nanos());
    }

    /** Judges whose request one is, by the keys that it carries. */
    KeyAccess.Verdict judge(List<KeyDigest> keys, Route route) {
        return KeyAccess.authenticate(
                customers, route.open(), keys, trust.isValid(BootClock.nanos()));
    }

    /** Returns whether requests carry customers' keys, which no upstream is to see. */
    boolean keysNeeded() {
        return customers.keysRequired();
    }

    /** Returns the limit of a customer as it is now. */
    Optional<CustomerLimit> limit(Customer customer) {
        return customers.findById(customer.id()).flatMap(Customer::limit);
    }

    AllowanceClient allowances() {
        return allowances;
    }
}
