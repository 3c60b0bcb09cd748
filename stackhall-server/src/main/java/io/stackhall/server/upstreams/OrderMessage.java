package io.stackhall.server.upstreams;

import io.stackhall.core.placement.Order;

/**
 * An order as an upstream receives it.
 *
 * @param number the fencing number
 * @param incarnation the incarnation that it is meant for
 * @param kind {@code LOAD} or {@code UNLOAD}
 * @param model the model or adapter
 * @param version its version
 * @param memoryMib what it takes, in MiB
 */
public record OrderMessage(
        long number,
        long incarnation,
        Order.Kind kind,
        String model,
        String version,
        long memoryMib) {

    /** Returns the message of an order. */
    public static OrderMessage of(Order order) {
        return new OrderMessage(
                order.number(),
                order.incarnation(),
                order.kind(),
                order.artifact().id().value(),
                order.artifact().version(),
                order.memoryMib());
    }

    /**
     * The upstream's answer.
     *
     * @param number the order
     * @param incarnation the incarnation that answers
     * @param sequence announcements from this one on show the effect
     * @param carriedOut whether the order was carried out
     * @param reason why not, or empty
     */
    public record Answer(
            long number, long incarnation, long sequence, boolean carriedOut, String reason) {}
}
