package io.stackhall.core.customer;

import java.time.Duration;

/**
 * What one customer may still have run, as its one keeper counts it for all hosts: a token bucket
 * that may be overdrawn by one request.
 *
 * <p>Over any window of W seconds it grants no more than {@code perSecond x W + burst}, and beside
 * that the cost of one request. Moments are in nanoseconds.
 */
final class CustomerAllowance {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Nobody is told to come back later than this: by then the limit itself may have changed. */
    private static final double MAX_RETRY_AFTER_SECONDS = 10;

    private CustomerLimit limit;
    private double level;
    private long refilledAt;

    /** What those that were refused are expected to take when they come back, in units. */
    private double expectedRetryCost;

    /**
     * Creates an allowance that has to grow first: what was granted before by another keeper, or by
     * an earlier life of this one, is not known.
     */
    CustomerAllowance(CustomerLimit limit, long now) {
        this.limit = limit;
        this.refilledAt = now;
    }

    /** Puts another limit into force; what a lower burst does not hold is lost. */
    void limit(CustomerLimit next, long now) {
        refill(now);
        limit = next;
        level = Math.min(level, limit.burst());
    }

    CustomerLimit limit() {
        return limit;
    }

    /** Takes the cost of a request, if the allowance is not overdrawn. */
    AllowanceVerdict take(double cost, long now) {
        refill(now);
        if (level >= 0) {
            level -= cost;
            expectedRetryCost = Math.max(0, expectedRetryCost - cost);
            return new AllowanceVerdict.Granted();
        }
        double seconds = (expectedRetryCost - level) / limit.perSecond();
        expectedRetryCost =
                Math.min(expectedRetryCost + cost, MAX_RETRY_AFTER_SECONDS * limit.perSecond());
        return new AllowanceVerdict.Denied(
                Duration.ofNanos(Math.round(seconds * NANOS_PER_SECOND)));
    }

    /** Takes back the cost of a request that was granted and has not run. */
    void refund(double cost, long now) {
        refill(now);
        level = Math.min(limit.burst(), level + cost);
    }

    private void refill(long now) {
        double grown = (now - refilledAt) / NANOS_PER_SECOND * limit.perSecond();
        refilledAt = now;
        if (grown <= 0) {
            return;
        }
        level = Math.min(limit.burst(), level + grown);
        if (level >= 0) {
            expectedRetryCost = Math.max(0, expectedRetryCost - grown);
        }
    }
}
