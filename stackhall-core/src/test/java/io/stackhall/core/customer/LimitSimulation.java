package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

/**
 * Simulates requests of many customers at many entry hosts with a strategy that enforces their
 * limits: sixteen customers of different size at 0.55 of their limits each, and optionally one of
 * them at 4.2 times its limit. Times are in milliseconds.
 */
final class LimitSimulation {

    static final int HOSTS = 89;
    static final int CUSTOMERS = 16;
    static final long DURATION = 30_000;
    static final LimitTolerance TOLERANCE = new LimitTolerance(Duration.ofSeconds(8), 0.1, 17_000);

    private static final double NORMAL_LOAD = 0.55;
    private static final double OVERLOAD = 4.2;
    private static final long KEY_LEASE = 4000;

    private final Random random;
    private final Faults faults;
    private final List<Deque<Run>> windows = new ArrayList<>();
    private final double[] windowCosts = new double[CUSTOMERS];
    private double worstExcess = Double.NEGATIVE_INFINITY;
    private int requestsBelowLimit;
    private int refusedBelowLimit;

    /**
     * The faults of a run.
     *
     * @param overload whether one customer exceeds its limit
     * @param leaderLostMillis how long no leader is reachable
     * @param partitionMillis how long a third of the hosts is partitioned from the leader
     */
    record Faults(boolean overload, long leaderLostMillis, long partitionMillis) {}

    /** Decides which requests run. */
    interface Strategy {
        /**
         * Returns whether a request runs.
         *
         * @param reaches whether the host reaches the leader
         */
        boolean admits(int host, int customer, double cost, boolean reaches, long now);

        /** Called when a new leader has taken over. */
        default void leaderChanged(long now) {}
    }

    /** A request that ran. */
    private record Run(long at, double cost) {}

    /**
     * The result of a run.
     *
     * @param worstExcess the largest excess of a window over what may run in it, as a share of
     *     that; negative if no window exceeded it
     * @param refusedShare the share of requests of customers below their limits that was refused
     */
    record Result(double worstExcess, double refusedShare) {}

    LimitSimulation(long seed, Faults faults) {
        this.random = new Random(seed);
        this.faults = faults;
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            windows.add(new ArrayDeque<>());
        }
    }

    /** Returns the limit of a customer: a few are large, and most are small. */
    static CustomerLimit limit(int customer) {
        double perSecond = customer < 3 ? 200_000.0 / (customer + 1) : 4200 + 2000.0 * customer;
        return new CustomerLimit(CustomerLimit.Unit.TOKENS, perSecond, perSecond, 200);
    }

    static CustomerId id(int customer) {
        return new CustomerId("c" + customer);
    }

    static Customers customers() {
        List<Customer> all = new ArrayList<>();
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            all.add(
                    new Customer(
                            id(customer),
                            Set.of(KeyDigest.of("k" + customer)),
                            OptionalInt.empty(),
                            Optional.of(limit(customer))));
        }
        return new Customers(all);
    }

    Result run(Strategy strategy) {
        long lostAt = 12_000;
        long cutAt = 10_000;
        boolean hadLeader = true;
        for (long now = 0; now < DURATION; now++) {
            boolean leader = now < lostAt || now >= lostAt + faults.leaderLostMillis();
            if (leader && !hadLeader) {
                strategy.leaderChanged(now);
            }
            hadLeader = leader;
            long sinceCut = now - cutAt;
            boolean partition = sinceCut >= 0 && sinceCut < faults.partitionMillis();
            for (int customer = 0; customer < CUSTOMERS; customer++) {
                generate(strategy, customer, leader, partition, sinceCut, now);
            }
        }
        return new Result(
                worstExcess, (double) refusedBelowLimit / Math.max(1, requestsBelowLimit));
    }

    private void generate(
            Strategy strategy,
            int customer,
            boolean leader,
            boolean partition,
            long sinceCut,
            long now) {
        boolean overloaded = faults.overload() && customer == 1 && now > 8000 && now < 20_000;
        double perMilli =
                limit(customer).perSecond() * (overloaded ? OVERLOAD : NORMAL_LOAD) / 1000;
        double requests = perMilli / 1300;
        while (requests > 0) {
            if (random.nextDouble() < requests) {
                send(strategy, customer, overloaded, leader, partition, sinceCut, now);
            }
            requests -= 1;
        }
    }

    private void send(
            Strategy strategy,
            int customer,
            boolean overloaded,
            boolean leader,
            boolean partition,
            long sinceCut,
            long now) {
        int host = random.nextInt(HOSTS);
        double cost = random.nextBoolean() ? 200 : 1500 + random.nextInt(1800);
        boolean partitioned = partition && host < HOSTS / 3;
        if (partitioned && sinceCut > KEY_LEASE) {
            return;
        }
        boolean admitted = strategy.admits(host, customer, cost, leader && !partitioned, now);
        if (admitted) {
            recordRun(customer, cost, now);
        }
        if (!overloaded && !(faults.overload() && customer == 1)) {
            requestsBelowLimit++;
            refusedBelowLimit += admitted ? 0 : 1;
        }
    }

    private void recordRun(int customer, double cost, long now) {
        Deque<Run> window = windows.get(customer);
        window.addLast(new Run(now, cost));
        windowCosts[customer] += cost;
        while (window.peekFirst().at() < now - TOLERANCE.window().toMillis()) {
            windowCosts[customer] -= window.removeFirst().cost();
        }
        CustomerLimit limit = limit(customer);
        double seconds = TOLERANCE.window().toMillis() / 1000.0;
        double max = limit.perSecond() * seconds + limit.burst() + TOLERANCE.allowedExcess(limit);
        worstExcess = Math.max(worstExcess, windowCosts[customer] / max - 1);
    }
}
