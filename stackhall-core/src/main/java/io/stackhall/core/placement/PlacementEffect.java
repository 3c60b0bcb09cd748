package io.stackhall.core.placement;

/** An action that a {@link PlacementCoordinator} asks its caller to perform. */
public sealed interface PlacementEffect {

    /** Propose a change of the ledger to the zone's group. */
    record Propose(OrderCommand command) implements PlacementEffect {}

    /**
     * Send an order, provided that this host still holds the leader lease at the moment of sending.
     *
     * @param order the order to send
     * @param address the address of the upstream, as {@code host:port}
     */
    record Send(Order order, String address) implements PlacementEffect {}
}
