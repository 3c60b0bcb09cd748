package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What one host grants customers while it cannot reach the leader of the control group: its fixed
 * share of the excess over the limits that is allowed to all hosts, which needs no coordination.
 *
 * <p>Load pattern: the leader of the control group is lost for a second or two while customers stay
 * below their limits. If a share is less than one request, it is used as the probability of running
 * one. Moments are in nanoseconds.
 */
public final class OutageAllowance {

    /** The remainder is reserved for the one request by which the leader may overdraw a limit. */
    private static final double USED_SHARE = 0.5;

    /** By then the control group has usually elected a new leader. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final LimitTolerance tolerance;
    private final RandomGenerator random;
    private final Map<CustomerId, Share> shares = new HashMap<>();

    /** One customer's share on this host. */
    private static final class Share {
        private double level;
        private long refilledAt;

        private Share(long now) {
            refilledAt = now;
        }

        private void refill(double max, long windowNanos, long now) {
            double grown = max * (now - refilledAt) / windowNanos;
            level = Math.min(max, level + Math.max(0, grown));
            refilledAt = now;
        }
    }

    /** Creates the allowance of a host that has just started; shares start empty. */
    public OutageAllowance(LimitTolerance tolerance, RandomGenerator random) {
        this.tolerance = tolerance;
        this.random = random;
    }

    /** Adds a customer, whose share grows from now on. */
    public void addCustomer(CustomerId customer, long now) {
        shares.computeIfAbsent(customer, ignored -> new Share(now));
    }

    /**
     * Decides about a request while the leader cannot be reached.
     *
     * @param cost the cost in units of the limit
     * @param hosts the number of hosts that share the allowed excess
     */
    public AllowanceVerdict take(
            CustomerId customer, CustomerLimit limit, double cost, int hosts, long now) {
        Share share = shares.computeIfAbsent(customer, ignored -> new Share(now));
        double max = USED_SHARE * tolerance.allowedExcess(limit) / Math.max(1, hosts);
        share.refill(max, tolerance.window().toNanos(), now);
        if (cost <= 0) {
            return new AllowanceVerdict.Granted();
        }
        double chance = share.level / cost;
        if (chance >= 1) {
            share.level -= cost;
            return new AllowanceVerdict.Granted();
        }
        boolean granted = random.nextDouble() < chance;
        share.level = 0;
        return granted ? new AllowanceVerdict.Granted() : new AllowanceVerdict.Denied(RETRY_AFTER);
    }
}
