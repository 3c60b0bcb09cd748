package io.stackhall.server.group;

import io.stackhall.core.outcome.ClaimTable;
import io.stackhall.core.placement.OrderLedger;
import io.stackhall.server.json.Json;

/** The state of a zone's group: claims of requests that run at most once, and orders. */
public final class ZoneState implements GroupState {

    private ClaimTable claims = new ClaimTable();
    private OrderLedger orders = new OrderLedger();

    /** Everything that the group holds. */
    record Saved(ClaimTable.State claims, OrderLedger.State orders) {}

    @Override
    public byte[] apply(byte[] command) {
        ZoneResult result =
                switch (Json.read(ZoneCommand.class, command)) {
                    case ZoneCommand.ChangeClaims(var claim) ->
                            new ZoneResult.ClaimsChanged(claims.apply(claim));
                    case ZoneCommand.ChangeOrders(var order) ->
                            new ZoneResult.OrdersChanged(orders.apply(order));
                };
        return Json.write(ZoneResult.class, result);
    }

    @Override
    public byte[] query(byte[] question) {
        throw new IllegalArgumentException("a zone's group answers no questions");
    }

    @Override
    public byte[] snapshot() {
        return Json.write(Saved.class, new Saved(claims.state(), orders.state()));
    }

    @Override
    public void restore(byte[] snapshot) {
        if (snapshot.length == 0) {
            claims = new ClaimTable();
            orders = new OrderLedger();
            return;
        }
        Saved saved = Json.read(Saved.class, snapshot);
        claims = new ClaimTable(saved.claims());
        orders = new OrderLedger(saved.orders());
    }

    @Override
    public void reformed(boolean memoryLost) {
        if (memoryLost) {
            claims.markMemoryLost();
        }
    }

    /** Returns the claims, for the group's thread. */
    public ClaimTable claims() {
        return claims;
    }

    /** Returns the orders, for the group's thread. */
    public OrderLedger orders() {
        return orders;
    }
}
