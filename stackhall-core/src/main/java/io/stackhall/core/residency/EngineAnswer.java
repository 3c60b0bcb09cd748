package io.stackhall.core.residency;

/** The answer of an engine to an order. */
public enum EngineAnswer {
    /** The engine accepted the order and is carrying it out. */
    TAKEN,
    /**
     * The requested state holds: the model or adapter was loaded already, or an unload completed at
     * once, which the engine counts as an order taken.
     */
    HOLDS,
    /** Another order is in progress, or the expected number of orders taken does not match. */
    CONFLICT,
    /** An order issuer with a higher fencing number has taken over. */
    FENCED,
    /** Another instance answered at this address. */
    OTHER_INSTANCE,
    /** The engine rejected the order as invalid: it knows no such order. */
    REFUSED,
    /** The outcome is unknown: the order may have been carried out, or may be carried out later. */
    UNKNOWN
}
