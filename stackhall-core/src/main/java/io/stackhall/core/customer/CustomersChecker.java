package io.stackhall.core.customer;

import io.stackhall.core.config.Finding;
import io.stackhall.core.id.CustomerId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds all errors in the customers of a configuration. Findings contain no keys. */
public final class CustomersChecker {

    private CustomersChecker() {}

    /** Returns the findings, each with the customer concerned. */
    public static List<Finding> check(Customers customers) {
        List<Finding> findings = new ArrayList<>();
        Set<CustomerId> names = new HashSet<>();
        Map<KeyDigest, CustomerId> holders = new HashMap<>();
        for (Customer customer : customers.all()) {
            String place = "customer " + customer.id();
            if (!names.add(customer.id())) {
                findings.add(new Finding(place, "is named twice"));
            }
            for (KeyDigest key : customer.keys()) {
                CustomerId other = holders.putIfAbsent(key, customer.id());
                if (other != null && !other.equals(customer.id())) {
                    findings.add(new Finding(place, "shares a key with customer " + other));
                }
            }
        }
        return findings;
    }
}
