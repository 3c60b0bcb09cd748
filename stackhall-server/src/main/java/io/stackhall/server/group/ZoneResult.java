package io.stackhall.server.group;

import io.stackhall.core.outcome.ClaimResult;
import io.stackhall.core.placement.OrderResult;

/** The result of a {@link ZoneCommand}. */
public sealed interface ZoneResult {

    /** The outcome of a change of the claims. */
    record ClaimsChanged(ClaimResult result) implements ZoneResult {}

    /** The outcome of a change of the orders. */
    record OrdersChanged(OrderResult result) implements ZoneResult {}
}
