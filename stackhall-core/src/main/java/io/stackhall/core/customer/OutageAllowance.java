package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * What one host grants customers while it cannot reach the leader of the control group: its fixed
 * share of the excess over the limits that is allowed to all hosts, which needs no coordination,
 * and after a second of silence its share of the limits as well, which the leader has reserved for
 * it by then.
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

    /** A host uses its share of the limits when it has had no answer for this long. */
    public static final Duration MIN_SILENCE = Duration.ofSeconds(1);

    /** A host that has had no answer for this long no longer uses its share of the limits. */
    static final Duration MAX_SILENCE = Duration.ofSeconds(30);

    /** Shares are not used in full, since requests that share one by chance vary in number. */
    private static final double USED_LIMIT_SHARE = 0.9;

    /** What an unused share of a limit may accumulate, in seconds; never more than the burst. */
    private static final double MAX_BURST_SECONDS = 3;

    private static final double NANOS_PER_SECOND = 1e9;

    private final LimitTolerance tolerance;
    private final RandomGenerator random;
    private final Map<CustomerId, Share> shares = new HashMap<>();
    private final Map<CustomerId, LimitShare> limitShares = new HashMap<>();
    private boolean shareReserved;
    private int entryHosts;
    private long answeredAt;

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

    /**
     * One customer's share of its limit on this host, a token bucket. A request runs if the level
     * has reached a random part of its cost, and is paid for in full. Over time a host thus runs
     * its share, also where that is less than one request, and hosts do not run theirs together.
     */
    private static final class LimitShare {
        private double level;
        private long refilledAt;
        private double requiredPart;

        private LimitShare(long since, double requiredPart) {
            this.refilledAt = since;
            this.requiredPart = requiredPart;
        }

        /** Nothing accumulates while the leader answers. */
        private void startOutage(long since) {
            if (since - refilledAt > 0) {
                level = Math.min(level, 0);
                refilledAt = since;
            }
        }

        private void refill(double perSecond, double max, long now) {
            double grown = perSecond * Math.max(0, now - refilledAt) / NANOS_PER_SECOND;
            level = Math.min(max, level + grown);
            refilledAt = now;
        }
    }

    /** Creates the allowance of a host that has just started; shares start empty. */
    public OutageAllowance(LimitTolerance tolerance, RandomGenerator random) {
        this.tolerance = tolerance;
        this.random = random;
    }

    /** Sets the customers in force; the shares of new ones grow from now on. */
    public void setCustomers(Set<CustomerId> customers, long now) {
        shares.keySet().retainAll(customers);
        limitShares.keySet().retainAll(customers);
        customers.forEach(customer -> shares.computeIfAbsent(customer, ignored -> new Share(now)));
    }

    /**
     * Records an answer of the leader.
     *
     * @param reserves whether the leader reserves this host's share of the limits while it hears
     *     nothing of this host
     * @param hosts the number of entry hosts among which it divides the limits
     */
    public void answered(boolean reserves, int hosts, long now) {
        shareReserved = reserves;
        entryHosts = hosts;
        answeredAt = now;
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
        if (usesLimitShare(limit, now) && takeLimitShare(customer, limit, cost, hosts, now)) {
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

    /** Without a tolerance, no host may overdraw its share, so that it uses none. */
    private boolean usesLimitShare(CustomerLimit limit, long now) {
        long silence = now - answeredAt;
        return shareReserved
                && tolerance.allowedExcess(limit) > 0
                && silence >= MIN_SILENCE.toNanos()
                && silence < MAX_SILENCE.toNanos();
    }

    private boolean takeLimitShare(
            CustomerId customer, CustomerLimit limit, double cost, int hosts, long now) {
        long since = answeredAt + ReservedShares.TIMEOUT.toNanos();
        LimitShare share =
                limitShares.computeIfAbsent(
                        customer, ignored -> new LimitShare(since, random.nextDouble()));
        share.startOutage(since);
        double part = USED_LIMIT_SHARE / Math.max(1, Math.max(hosts, entryHosts));
        double burst = Math.min(limit.burst(), MAX_BURST_SECONDS * limit.perSecond());
        share.refill(part * limit.perSecond(), part * burst, now);
        if (share.level < share.requiredPart * cost) {
            return false;
        }
        share.level -= cost;
        share.requiredPart = random.nextDouble();
        return true;
    }
}
