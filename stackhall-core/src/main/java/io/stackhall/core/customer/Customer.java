package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A holder of keys that authorize requests, with its priority and limit.
 *
 * @param id its name
 * @param keys the digests of its keys
 * @param rank the priority of its requests, 0 is the highest; if empty, the route's rank applies
 * @param limit its limit, if it has one
 */
public record Customer(
        CustomerId id, Set<KeyDigest> keys, OptionalInt rank, Optional<CustomerLimit> limit) {

    /** Engines distinguish ten ranks: three route ranks for each of the highest customer ranks. */
    private static final int ROUTE_RANKS = 3;

    /** Copies the keys. */
    public Customer {
        keys = Set.copyOf(keys);
    }

    /**
     * Returns the rank of its request on a route: ordered by its own rank first, then by the
     * route's.
     */
    public int combinedRank(int routeRank) {
        if (rank.isEmpty()) {
            return routeRank;
        }
        return rank.getAsInt() * ROUTE_RANKS + Math.min(routeRank, ROUTE_RANKS - 1);
    }
}
