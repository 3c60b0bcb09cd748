package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Strategies to enforce customers' limits over many hosts. */
final class LimitStrategies {

    private LimitStrategies() {}

    /** The leader counts for all hosts; a host that cannot reach it uses its outage allowance. */
    static final class Central implements LimitSimulation.Strategy {
        private final AllowanceManager allowances = new AllowanceManager();
        private final OutageAllowance[] outages = new OutageAllowance[LimitSimulation.HOSTS];

        Central(long seed) {
            allowances.configure(LimitSimulation.customers(), 0);
            for (int host = 0; host < outages.length; host++) {
                outages[host] =
                        new OutageAllowance(
                                LimitSimulation.TOLERANCE, new Random(seed * 1000 + host));
                outages[host].setCustomers(LimitSimulation.customerIds(), 0);
            }
        }

        @Override
        public boolean admits(
                int host, int customer, double cost, LimitSimulation.Link link, long now) {
            long nanos = TimeUnit.MILLISECONDS.toNanos(now);
            AllowanceVerdict verdict =
                    link == LimitSimulation.Link.BOTH
                            ? allowances.take(LimitSimulation.id(customer), cost, nanos)
                            : outages[host].take(
                                    LimitSimulation.id(customer),
                                    LimitSimulation.limit(customer),
                                    cost,
                                    LimitSimulation.HOSTS,
                                    nanos);
            return verdict instanceof AllowanceVerdict.Granted;
        }

        @Override
        public void leaderChanged(long now) {
            allowances.reset(TimeUnit.MILLISECONDS.toNanos(now));
        }
    }

    /**
     * As {@link Central}, but a host without answers uses its share of the limits as well, which
     * the leader reserves for it.
     */
    static final class CentralWithShares implements LimitSimulation.Strategy {
        private static final long QUESTION_INTERVAL = 250;

        private final int hostCount;
        private final AllowanceManager allowances = new AllowanceManager();
        private final OutageAllowance[] outages;
        private final AnswerReceipt[] receipts;
        private final long[] askedAt;
        private long leadership = 1;

        CentralWithShares(LimitSimulation.Deployment deployment, long seed) {
            hostCount = deployment.hosts();
            outages = new OutageAllowance[hostCount];
            receipts = new AnswerReceipt[hostCount];
            askedAt = new long[hostCount];
            allowances.configure(LimitSimulation.customers(), 0);
            allowances.reset(leadership, 0);
            allowances.setFollowerCount(hostCount, 0);
            for (int host = 0; host < hostCount; host++) {
                receipts[host] = AnswerReceipt.NONE;
                askedAt[host] = -QUESTION_INTERVAL;
                outages[host] =
                        new OutageAllowance(deployment.tolerance(), new Random(seed * 1000 + host));
                outages[host].setCustomers(LimitSimulation.customerIds(), 0);
            }
        }

        @Override
        public void tick(int host, LimitSimulation.Link link, long now) {
            if (now - askedAt[host] >= QUESTION_INTERVAL) {
                ask(host, link, now);
            }
        }

        @Override
        public boolean admits(
                int host, int customer, double cost, LimitSimulation.Link link, long now) {
            long nanos = TimeUnit.MILLISECONDS.toNanos(now);
            ask(host, link, now);
            CustomerId id = LimitSimulation.id(customer);
            AllowanceVerdict verdict =
                    link == LimitSimulation.Link.NONE
                            ? new AllowanceVerdict.Denied(Duration.ZERO)
                            : allowances.take(id, cost, nanos);
            if (link != LimitSimulation.Link.BOTH) {
                CustomerLimit limit = LimitSimulation.limit(customer);
                verdict = outages[host].take(id, limit, cost, hostCount, nanos);
            }
            return verdict instanceof AllowanceVerdict.Granted;
        }

        /** A new leader knows few of the hosts at first, and learns of the others from them. */
        @Override
        public void leaderChanged(long now) {
            leadership++;
            allowances.reset(leadership, TimeUnit.MILLISECONDS.toNanos(now));
            allowances.setFollowerCount(hostCount / 2, TimeUnit.MILLISECONDS.toNanos(now));
        }

        private void ask(int host, LimitSimulation.Link link, long now) {
            long nanos = TimeUnit.MILLISECONDS.toNanos(now);
            askedAt[host] = now;
            if (link == LimitSimulation.Link.NONE) {
                return;
            }
            allowances.recordQuestion(LimitSimulation.host(host), receipts[host], nanos);
            if (link == LimitSimulation.Link.BOTH) {
                AnswerReceipt before = receipts[host];
                receipts[host] = allowances.receipt(nanos).orElseThrow();
                outages[host].answered(true, receipts[host].entryHosts(), nanos);
                if (before.leadership() != leadership) {
                    allowances.recordQuestion(LimitSimulation.host(host), receipts[host], nanos);
                }
            }
        }
    }

    /** Each host has the same fixed share of each limit. */
    static final class FixedShares implements LimitSimulation.Strategy {
        private final Bucket[][] buckets =
                new Bucket[LimitSimulation.HOSTS][LimitSimulation.CUSTOMERS];

        FixedShares() {
            for (Bucket[] host : buckets) {
                for (int customer = 0; customer < host.length; customer++) {
                    CustomerLimit limit = LimitSimulation.limit(customer);
                    host[customer] =
                            new Bucket(
                                    limit.perSecond() / LimitSimulation.HOSTS,
                                    limit.burst() / LimitSimulation.HOSTS);
                }
            }
        }

        @Override
        public boolean admits(
                int host, int customer, double cost, LimitSimulation.Link link, long now) {
            Bucket bucket = buckets[host][customer];
            bucket.refill(now);
            // May be overdrawn by one request; otherwise most customers could run none at all.
            if (bucket.level < 0) {
                return false;
            }
            bucket.level -= cost;
            return true;
        }
    }

    /**
     * Each host counts the requests that it knows of, its own at once and those of others after a
     * delay.
     */
    static final class Gossip implements LimitSimulation.Strategy {
        private static final long DELAY = 300;

        private final Bucket[][] buckets =
                new Bucket[LimitSimulation.HOSTS][LimitSimulation.CUSTOMERS];
        private final Deque<Spent> undelivered = new ArrayDeque<>();

        private record Spent(long at, int host, int customer, double cost, boolean reaches) {}

        Gossip() {
            for (Bucket[] host : buckets) {
                for (int customer = 0; customer < host.length; customer++) {
                    CustomerLimit limit = LimitSimulation.limit(customer);
                    host[customer] = new Bucket(limit.perSecond(), limit.burst());
                }
            }
        }

        @Override
        public boolean admits(
                int host, int customer, double cost, LimitSimulation.Link link, long now) {
            deliver(now);
            Bucket bucket = buckets[host][customer];
            bucket.refill(now);
            if (bucket.level < 0) {
                return false;
            }
            bucket.level -= cost;
            undelivered.addLast(
                    new Spent(now, host, customer, cost, link == LimitSimulation.Link.BOTH));
            return true;
        }

        private void deliver(long now) {
            while (!undelivered.isEmpty() && undelivered.peekFirst().at() <= now - DELAY) {
                Spent spent = undelivered.removeFirst();
                for (int host = 0; spent.reaches() && host < buckets.length; host++) {
                    if (host != spent.host()) {
                        Bucket bucket = buckets[host][spent.customer()];
                        bucket.refill(now);
                        bucket.level -= spent.cost();
                    }
                }
            }
        }
    }

    /** A token bucket. */
    private static final class Bucket {
        private final double perSecond;
        private final double burst;
        private double level;
        private long refilledAt;

        private Bucket(double perSecond, double burst) {
            this.perSecond = perSecond;
            this.burst = burst;
            this.level = burst;
        }

        private void refill(long now) {
            level = Math.min(burst, level + perSecond * (now - refilledAt) / 1000);
            refilledAt = now;
        }
    }
}
