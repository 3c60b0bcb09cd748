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
    private static final int RANKS_OF_ROUTES = 3;

    /** Copies the keys. */
    public Customer {
        keys = Set.copyOf(keys);
    }

    /** Returns the rank of its request on a route: by its own rank first, then by the route's. */
    public int rankOn(int routeRank) {
        if (rank.isEmpty()) {
            return routeRank;
        }
        return rank.getAsInt() * RANKS_OF_ROUTES + Math.min(routeRank, RANKS_OF_ROUTES - 1);
    }
}
