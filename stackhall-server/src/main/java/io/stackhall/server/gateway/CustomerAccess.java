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
final class CustomerAccess {

    private final KeyLease keyLease;
    private final OutageAllowance outageAllowance;
    private final AllowanceClient allowanceClient;
    private Customers currentCustomers = Customers.unrestricted();

    /** Creates the gate of a host that knows no configuration yet. */
    CustomerAccess(KeyLease trust, OutageAllowance outage, AllowanceClient allowances) {
        this.keyLease = trust;
        this.outageAllowance = outage;
        this.allowanceClient = allowances;
    }

    /** Puts the customers of a configuration into force. */
    void setCustomers(Customers next) {
        currentCustomers = next;
        long now = BootClock.nanos();
        next.all().forEach(customer -> outageAllowance.addCustomer(customer.id(), now));
    }

    /**
     * Notes that a quorum has confirmed the configuration in force.
     *
     * @param askedAt when this host asked for it, on the process's clock in nanoseconds
     */
    void recordConfirmation(long askedAt) {
        keyLease.renew(askedAt);
    }

    /** Returns whether requests with keys can be taken, if any are needed. */
    boolean isReady() {
        return !currentCustomers.keysRequired() || keyLease.isValid(BootClock.nanos());
    }

    /** Returns how long ago a quorum confirmed the configuration in force. */
    Duration confirmationAge() {
        return keyLease.age(BootClock.nanos());
    }

    /** Judges whose request one is, by the keys that it carries. */
    KeyAccess.Verdict authenticate(List<KeyDigest> keys, Route route) {
        return KeyAccess.authenticate(
                currentCustomers, route.open(), keys, keyLease.isValid(BootClock.nanos()));
    }

    /** Returns whether requests carry customers' keys, which no upstream is to see. */
    boolean keysRequired() {
        return currentCustomers.keysRequired();
    }

    /** Returns the limit of a customer as it is now. */
    Optional<CustomerLimit> limit(Customer customer) {
        return currentCustomers.findById(customer.id()).flatMap(Customer::limit);
    }

    AllowanceClient allowanceClient() {
        return allowanceClient;
    }
}
