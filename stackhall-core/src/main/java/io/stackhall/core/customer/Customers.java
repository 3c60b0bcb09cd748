package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The customers of one configuration, indexed by name and by key. */
public final class Customers {

    private static final Customers UNRESTRICTED = new Customers(List.of(), false);

    private final List<Customer> all;
    private final boolean keysRequired;
    private final Map<CustomerId, Customer> byId = new HashMap<>();
    private final Map<KeyDigest, Customer> byKey = new HashMap<>();

    /** Creates the customers; a key that several of them share identifies the last one. */
    public Customers(Collection<Customer> customers) {
        this(customers, true);
    }

    private Customers(Collection<Customer> customers, boolean keysRequired) {
        this.keysRequired = keysRequired;
        all = List.copyOf(customers);
        for (Customer customer : all) {
            byId.put(customer.id(), customer);
            customer.keys().forEach(key -> byKey.put(key, customer));
        }
    }

    /** Returns the customers of a configuration without a customer list: requests need no key. */
    public static Customers unrestricted() {
        return UNRESTRICTED;
    }

    /** Returns whether requests need a customer's key; with an empty list no key is valid. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns all customers, in the order of the configuration. */
    public List<Customer> all() {
        return all;
    }

    /** Returns the customer with a name. */
    public Optional<Customer> findById(CustomerId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns the customer that holds a key. */
    public Optional<Customer> findByKey(KeyDigest key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
