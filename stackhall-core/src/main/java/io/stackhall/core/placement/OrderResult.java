package io.stackhall.core.placement;

/** The result of an {@link OrderCommand}. */
public sealed interface OrderResult {

    /** The intent is recorded. */
    record Intended(Order order) implements OrderResult {}

    /** The intent was rejected, because another order to the same upstream is still open. */
    record Busy() implements OrderResult {}

    /** The command was carried out. */
    record Done() implements OrderResult {}
}
