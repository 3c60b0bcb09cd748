package io.stackhall.server.group;

import io.stackhall.core.outcome.ClaimCommand;
import io.stackhall.core.placement.OrderCommand;

/** A command to the group of a zone. */
public sealed interface ZoneCommand {

    /** A change of the claims. */
    record ChangeClaims(ClaimCommand command) implements ZoneCommand {}

    /** A change of the orders. */
    record ChangeOrders(OrderCommand command) implements ZoneCommand {}
}
