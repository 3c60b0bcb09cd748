package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Whoever holds keys to send requests with, and the rights of these.
 *
 * @param id its name
 * @param keys the digests of its keys
 * @param rank how urgent its requests are, 0 first; where it is empty, their routes say
 * @param limit how much it may have run, if that is bounded
 */
public record Customer(
        CustomerId id, Set<KeyDigest> keys, OptionalInt rank, Optional<CustomerLimit> limit) {

    /** Engines know ten ranks: three for the routes of each of the most urgent customers' ranks. */
    private static final int ROUTE_RANKS = 3;

    /** Copies the keys. */
    public Customer {
        keys = Set.copyOf(keys);
    }

    /** Returns the rank of its request on a route: by its own rank first, then by the route's. */
    public int combinedRank(int routeRank) {
        if (rank.isEmpty()) {
            return routeRank;
        }
        return rank.getAsInt() * ROUTE_RANKS + Math.min(routeRank, ROUTE_RANKS - 1);
    }
}
