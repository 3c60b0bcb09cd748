package io.stackhall.core.residency;

/** What an engine answers to an order. */
public enum EngineAnswer {
    /** The order is being carried out. */
    TAKEN,
    /** A load that holds already, or an unload that was done at once and counts as taken. */
    HOLDS,
    /** Another order is under way, or the count of orders does not match. */
    CONFLICT,
    /** Somebody with a higher fencing number gives orders now. */
    FENCED,
    /** The engine at this address is another one. */
    OTHER_INSTANCE,
    /** The engine knows no such order. */
    REFUSED,
    /** Nothing is known of what became of it: it may be carried out, now or later. */
    UNKNOWN
}
