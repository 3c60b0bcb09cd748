package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What one host lets customers run while nobody answers who could grant it: its fixed share of what
 * the hosts together may run beyond the limits, so that they need not agree.
 *
 * <p>The load that it answers: the leader of the control group is lost for a second or two while
 * customers stay below their limits. A share may be less than one request; then it is a chance of
 * running one. Moments are in nanoseconds.
 */
public final class OutageAllowance {

    /** The rest stays free for the one request by which the keeper may overdraw a limit. */
    private static final double USED_SHARE = 0.5;

    /** By then the control group has usually elected its next leader. */
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

        private void refill(double most, long windowNanos, long now) {
            double grown = most * (now - refilledAt) / windowNanos;
            level = Math.min(most, level + Math.max(0, grown));
            refilledAt = now;
        }
    }

    /** Creates the allowance of a host that has just started: it has to grow first. */
    public OutageAllowance(LimitTolerance tolerance, RandomGenerator random) {
        this.tolerance = tolerance;
        this.random = random;
    }

    /** Notes a customer, whose share grows from now on. */
    public void addCustomer(CustomerId customer, long now) {
        shares.computeIfAbsent(customer, ignored -> new Share(now));
    }

    /**
     * Decides about a request while nobody grants.
     *
     * @param hosts how many hosts share what may be run beyond the limit
     */
    public AllowanceVerdict take(
            CustomerId customer, CustomerLimit limit, double cost, int hosts, long now) {
        Share share = shares.computeIfAbsent(customer, ignored -> new Share(now));
        double most = USED_SHARE * tolerance.allowedExcess(limit) / Math.max(1, hosts);
        share.refill(most, tolerance.window().toNanos(), now);
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
