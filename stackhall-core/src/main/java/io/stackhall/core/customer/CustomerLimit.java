package io.stackhall.core.customer;

/**
 * How much a customer may have run over all hosts together.
 *
 * @param unit what is counted
 * @param perSecond what may be run in each second, in units
 * @param burst what may be run beside in a moment, in units
 * @param plainCost the cost of a request that does not tell its tokens, in units
 */
public record CustomerLimit(Unit unit, double perSecond, double burst, double plainCost) {

    /** What a limit counts. */
    public enum Unit {
        /** Each request costs one. */
        REQUESTS,
        /** A request costs the tokens of its prompt and the most tokens of its answer. */
        TOKENS
    }

    /** Checks the figures. */
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
     * Returns what a request costs, in units.
     *
     * @param tokens the tokens of its prompt and the most of its answer, 0 where it does not tell
     */
    public double cost(int tokens) {
        return switch (unit) {
            case REQUESTS -> 1;
            case TOKENS -> tokens > 0 ? tokens : plainCost;
        };
    }
}
