package io.stackhall.core.customer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Ways to keep customers' limits over many hosts. */
final class LimitWays {

    private LimitWays() {}

    /** The leader counts for all; a host that does not reach it takes its share for outages. */
    static final class OneKeeper implements LimitReplay.Way {
        private final AllowanceKeeper keeper = new AllowanceKeeper();
        private final OutageAllowance[] outages = new OutageAllowance[LimitReplay.HOSTS];

        OneKeeper(long seed) {
            keeper.customers(LimitReplay.customers(), 0);
            for (int host = 0; host < outages.length; host++) {
                outages[host] =
                        new OutageAllowance(LimitReplay.TOLERANCE, new Random(seed * 1000 + host));
                for (int customer = 0; customer < LimitReplay.CUSTOMERS; customer++) {
                    outages[host].known(LimitReplay.id(customer), 0);
                }
            }
        }

        @Override
        public boolean admits(int host, int customer, double cost, boolean reaches, long now) {
            long nanos = TimeUnit.MILLISECONDS.toNanos(now);
            AllowanceVerdict verdict =
                    reaches
                            ? keeper.take(LimitReplay.id(customer), cost, nanos)
                            : outages[host].take(
                                    LimitReplay.id(customer),
                                    LimitReplay.limit(customer),
                                    cost,
                                    LimitReplay.HOSTS,
                                    nanos);
            return verdict instanceof AllowanceVerdict.Granted;
        }

        @Override
        public void leaderChanged(long now) {
            keeper.begin(TimeUnit.MILLISECONDS.toNanos(now));
        }
    }

    /** Each host has the same fixed part of each limit. */
    static final class FixedShares implements LimitReplay.Way {
        private final Bucket[][] buckets = new Bucket[LimitReplay.HOSTS][LimitReplay.CUSTOMERS];

        FixedShares() {
            for (Bucket[] host : buckets) {
                for (int customer = 0; customer < host.length; customer++) {
                    CustomerLimit limit = LimitReplay.limit(customer);
                    host[customer] =
                            new Bucket(
                                    limit.perSecond() / LimitReplay.HOSTS,
                                    limit.burst() / LimitReplay.HOSTS);
                }
            }
        }

        @Override
        public boolean admits(int host, int customer, double cost, boolean reaches, long now) {
            Bucket bucket = buckets[host][customer];
            bucket.count(now);
            // Overdrawn by one request, or most customers could run none at all.
            if (bucket.level < 0) {
                return false;
            }
            bucket.level -= cost;
            return true;
        }
    }

    /** Each host counts all that it hears of, its own at once and that of others after a while. */
    static final class Gossip implements LimitReplay.Way {
        private static final long LAG = 300;

        private final Bucket[][] buckets = new Bucket[LimitReplay.HOSTS][LimitReplay.CUSTOMERS];
        private final Deque<Spent> told = new ArrayDeque<>();

        private record Spent(long at, int host, int customer, double cost, boolean reaches) {}

        Gossip() {
            for (Bucket[] host : buckets) {
                for (int customer = 0; customer < host.length; customer++) {
                    CustomerLimit limit = LimitReplay.limit(customer);
                    host[customer] = new Bucket(limit.perSecond(), limit.burst());
                }
            }
        }

        @Override
        public boolean admits(int host, int customer, double cost, boolean reaches, long now) {
            hear(now);
            Bucket bucket = buckets[host][customer];
            bucket.count(now);
            if (bucket.level < 0) {
                return false;
            }
            bucket.level -= cost;
            told.addLast(new Spent(now, host, customer, cost, reaches));
            return true;
        }

        private void hear(long now) {
            while (!told.isEmpty() && told.peekFirst().at() <= now - LAG) {
                Spent spent = told.removeFirst();
                for (int host = 0; spent.reaches() && host < buckets.length; host++) {
                    if (host != spent.host()) {
                        Bucket bucket = buckets[host][spent.customer()];
                        bucket.count(now);
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
        private long countedAt;

        private Bucket(double perSecond, double burst) {
            this.perSecond = perSecond;
            this.burst = burst;
            this.level = burst;
        }

        private void count(long now) {
            level = Math.min(burst, level + perSecond * (now - countedAt) / 1000);
            countedAt = now;
        }
    }
}
