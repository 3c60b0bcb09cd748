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
import java.util.stream.Collectors;

/**
 * Authenticates customers at one entry host and gives access to their limits and allowances. Not
 * thread-safe: confined to one event loop.
 */
final class CustomerAccess {

    private final KeyLease keyLease;
    private final OutageAllowance outageAllowance;
    private final AllowanceClient allowanceClient;
    private Customers currentCustomers = Customers.unrestricted();

    /** Creates the access of a host without a configuration: unrestricted. */
    CustomerAccess(
            KeyLease keyLease, OutageAllowance outageAllowance, AllowanceClient allowanceClient) {
        this.keyLease = keyLease;
        this.outageAllowance = outageAllowance;
        this.allowanceClient = allowanceClient;
    }

    /** Activates the customers of a configuration. */
    void setCustomers(Customers next) {
        currentCustomers = next;
        long now = BootClock.nanos();
        outageAllowance.setCustomers(
                next.all().stream().map(Customer::id).collect(Collectors.toSet()), now);
        allowanceClient.setLimitsInForce(
                next.all().stream().anyMatch(customer -> customer.limit().isPresent()));
    }

    /**
     * Records that a quorum has confirmed the active configuration, which renews the key lease.
     *
     * @param askedAt when this host requested the confirmation, in nanoseconds of {@code BootClock}
     */
    void recordConfirmation(long askedAt) {
        keyLease.renew(askedAt);
    }

    /** Returns whether keys can be verified, or none are required. */
    boolean isReady() {
        return !currentCustomers.keysRequired() || keyLease.isValid(BootClock.nanos());
    }

    /** Returns the time since the last confirmation by a quorum was requested. */
    Duration confirmationAge() {
        return keyLease.age(BootClock.nanos());
    }

    /** Authenticates a request on a route by the digests of its keys. */
    KeyAccess.Verdict authenticate(List<KeyDigest> keys, Route route) {
        return KeyAccess.authenticate(
                currentCustomers, route.open(), keys, keyLease.isValid(BootClock.nanos()));
    }

    /** Returns whether requests carry customer keys, which must not reach an upstream. */
    boolean keysRequired() {
        return currentCustomers.keysRequired();
    }

    /** Returns the limit of a customer in the active configuration. */
    Optional<CustomerLimit> limit(Customer customer) {
        return currentCustomers.findById(customer.id()).flatMap(Customer::limit);
    }

    AllowanceClient allowanceClient() {
        return allowanceClient;
    }
}
