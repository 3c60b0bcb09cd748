package io.stackhall.core.routing;

/** Limits retries to a share of the traffic, so that retries do not overload a failing upstream. */
public final class RetryBudget {

    private static final double MAX_TOKENS = 100;

    private final double share;
    private double tokens;

    /**
     * Creates a budget.
     *
     * @param share retries allowed for each first attempt, in [0, 1]
     * @param reserve retries allowed before any traffic
     */
    public RetryBudget(double share, double reserve) {
        if (share < 0 || share > 1) {
            throw new IllegalArgumentException("share " + share + " is not in [0, 1]");
        }
        this.share = share;
        this.tokens = reserve;
    }

    /** Records a first attempt, which adds to the budget. */
    public void recordFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + share);
    }

    /** Takes a retry from the budget if one is left. */
    public boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
