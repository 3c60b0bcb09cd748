package io.stackhall.core.customer;

/**
 * The limit of a customer's requests over all hosts together.
 *
 * @param unit what is counted
 * @param perSecond the sustained rate, in units per second
 * @param burst what may run in addition at one moment, in units
 * @param plainCost the cost of a request that does not state its tokens, in units
 */
public record CustomerLimit(Unit unit, double perSecond, double burst, double plainCost) {

    /** What a limit counts. */
    public enum Unit {
        /** Each request costs one. */
        REQUESTS,
        /** A request costs the tokens of its prompt plus the maximum tokens of its answer. */
        TOKENS
    }

    /** Checks the ranges. */
    public CustomerLimit {
        if (!(perSecond > 0) || Double.isInfinite(perSecond)) {
            throw new IllegalArgumentException("perSecond is " + perSecond);
        }
        if (!(burst >= 0) || Double.isInfinite(burst)) {
            throw new IllegalArgumentException("burst is " + burst);
        }
        if (!(plainCost >= 0) || Double.isInfinite(plainCost)) {
            throw new IllegalArgumentException("plainCost is " + plainCost);
        }
    }

    /**
     * Returns the cost of a request, in units.
     *
     * @param tokens the tokens of its prompt plus the maximum of its answer, 0 if it does not state
     *     them
     */
    public double cost(int tokens) {
        return switch (unit) {
            case REQUESTS -> 1;
            case TOKENS -> tokens > 0 ? tokens : plainCost;
        };
    }
}
