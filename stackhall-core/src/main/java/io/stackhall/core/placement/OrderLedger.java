package io.stackhall.core.placement;

import java.util.List;
import java.util.TreeMap;

/**
 * The replicated ledger of a zone's orders.
 *
 * <p>An order is recorded before it is sent, and stays open until a later report shows its outcome.
 * The outcome of an order whose answer is lost is unknown, and the memory that it may have occupied
 * remains charged. Each upstream has at most one open order.
 */
public final class OrderLedger {

    private final TreeMap<Long, Order> open = new TreeMap<>();
    private final TreeMap<Long, Order> echoes = new TreeMap<>();
    private long lastNumber;

    /** Creates an empty ledger. */
    public OrderLedger() {}

    /** Creates a ledger from a state that {@link #state()} returned. */
    public OrderLedger(State state) {
        state.open().forEach(order -> open.put(order.number(), order));
        state.echoes().forEach(order -> echoes.put(order.number(), order));
        lastNumber = state.lastNumber();
    }

    /**
     * The complete state of the ledger.
     *
     * @param open orders whose outcome is unknown
     * @param echoes closed loads of which a late copy may still arrive
     * @param lastNumber the last fencing number assigned
     */
    public record State(List<Order> open, List<Order> echoes, long lastNumber) {}

    /** Applies a command. */
    public OrderResult apply(OrderCommand command) {
        return switch (command) {
            case OrderCommand.Intend intend -> intend(intend);
            case OrderCommand.Close(long number, boolean echo) -> close(number, echo);
            case OrderCommand.ForgetEcho(long number) -> {
                echoes.remove(number);
                yield new OrderResult.Done();
            }
        };
    }

    /** Returns the complete state of the ledger. */
    public State state() {
        return new State(List.copyOf(open.values()), List.copyOf(echoes.values()), lastNumber);
    }

    private OrderResult intend(OrderCommand.Intend intend) {
        boolean busy =
                open.values().stream()
                        .anyMatch(order -> order.upstream().equals(intend.upstream()));
        if (busy) {
            return new OrderResult.Busy();
        }
        lastNumber = Math.max(lastNumber, intend.highestSeen()) + 1;
        Order order =
                new Order(
                        lastNumber,
                        intend.upstream(),
                        intend.incarnation(),
                        intend.kind(),
                        intend.artifact(),
                        intend.memoryMib());
        open.put(order.number(), order);
        return new OrderResult.Intended(order);
    }

    private OrderResult close(long number, boolean echo) {
        Order order = open.remove(number);
        if (order != null && echo && order.kind() == Order.Kind.LOAD) {
            echoes.put(number, order);
        }
        return new OrderResult.Done();
    }
}
