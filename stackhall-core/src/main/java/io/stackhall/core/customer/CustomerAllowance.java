package io.stackhall.core.customer;

import java.time.Duration;

/**
 * The allowance of one customer over all hosts: a token bucket that may be overdrawn by one
 * request.
 *
 * <p>Over any window of W seconds it grants no more than {@code perSecond x W + burst} plus the
 * cost of one request. Moments are in nanoseconds.
 */
final class CustomerAllowance {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Denials name no later time than this, by which the limit itself may have changed. */
    private static final double MAX_RETRY_AFTER_SECONDS = 10;

    private CustomerLimit limit;
    private double level;
    private long refilledAt;

    /** The cost of denied requests that are expected to be retried, in units of the limit. */
    private double expectedRetryCost;

    /**
     * Creates an allowance that starts empty, since what an earlier leader or an earlier
     * incarnation of this one has granted is not known.
     */
    CustomerAllowance(CustomerLimit limit, long now) {
        this.limit = limit;
        this.refilledAt = now;
    }

    /** Replaces the limit; tokens beyond a lower burst are lost. */
    void limit(CustomerLimit next, long now) {
        refill(now);
        limit = next;
        level = Math.min(level, limit.burst());
    }

    CustomerLimit limit() {
        return limit;
    }

    /**
     * Takes the cost of a request, if the allowance is not overdrawn. Denied requests get
     * increasing retry times, so that they do not all return at once.
     */
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

    /** Refunds the cost of a request that was granted and has not run. */
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
