package io.stackhall.core.customer;

import io.stackhall.core.id.CustomerId;
import io.stackhall.core.id.HostId;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Simulates requests of many customers at many entry hosts with a strategy that enforces their
 * limits: sixteen customers of different size at a part of their limits each, and optionally some
 * of them far beyond. Times are in milliseconds.
 */
final class LimitSimulation {

    static final int HOSTS = 89;
    static final int CUSTOMERS = 16;
    static final long DURATION = 30_000;
    static final long TICK = 50;
    static final LimitTolerance TOLERANCE = new LimitTolerance(Duration.ofSeconds(8), 0.1, 17_000);

    /** 89 hosts; customer 1 sends 4.2 times its limit in an overload. */
    static final Deployment WIDE =
            new Deployment(HOSTS, TOLERANCE, 0.55, 4.2, Set.of(1), 8000, 4000);

    private final Random random;
    private final Deployment deployment;
    private final Faults faults;
    private final List<Deque<Run>> windows = new ArrayList<>();
    private final double[] windowCosts = new double[CUSTOMERS];
    private double worstExcess = Double.NEGATIVE_INFINITY;
    private int requestsBelowLimit;
    private int refusedBelowLimit;

    /**
     * The hosts and the load.
     *
     * @param normalLoad the usual load, as a part of the limits
     * @param overload the load in an overload, as a part of the limits
     * @param overloaded the customers that have the overload
     * @param overloadAt when the overload begins, which lasts for 12 s
     * @param keyLease how long hosts that reach no leader accept keys
     */
    record Deployment(
            int hosts,
            LimitTolerance tolerance,
            double normalLoad,
            double overload,
            Set<Integer> overloaded,
            long overloadAt,
            long keyLease) {}

    /**
     * The faults of a run.
     *
     * @param overload whether some customers exceed their limits
     * @param leaderLostMillis how long no leader is reachable, before a new one takes over
     * @param partitionMillis how long a third of the hosts is partitioned from the leader
     * @param partitionLink what the partition lets through
     */
    record Faults(
            boolean overload, long leaderLostMillis, long partitionMillis, Link partitionLink) {
        Faults(boolean overload, long leaderLostMillis, long partitionMillis) {
            this(overload, leaderLostMillis, partitionMillis, Link.NONE);
        }
    }

    /** What the connection between a host and the leader lets through. */
    enum Link {
        BOTH,
        CLAIMS_ONLY,
        NONE
    }

    /** Decides which requests run. */
    interface Strategy {
        /**
         * Returns whether a request runs.
         *
         * @param link the host's connection to the leader
         */
        boolean admits(int host, int customer, double cost, Link link, long now);

        /** Called for each host every {@link #TICK} ms. */
        default void tick(int host, Link link, long now) {}

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
        this(seed, WIDE, faults);
    }

    LimitSimulation(long seed, Deployment deployment, Faults faults) {
        this.random = new Random(seed);
        this.deployment = deployment;
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

    static Set<CustomerId> customerIds() {
        return IntStream.range(0, CUSTOMERS)
                .mapToObj(LimitSimulation::id)
                .collect(Collectors.toSet());
    }

    static CustomerId id(int customer) {
        return new CustomerId("c" + customer);
    }

    static HostId host(int host) {
        return new HostId("h" + host);
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
            for (int host = 0; now % TICK == 0 && host < deployment.hosts(); host++) {
                strategy.tick(host, link(host, leader, partition), now);
            }
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
        long sinceOverload = now - deployment.overloadAt();
        boolean overloaded = exceeds(customer) && sinceOverload > 0 && sinceOverload < 12_000;
        double load = overloaded ? deployment.overload() : deployment.normalLoad();
        double perMilli = limit(customer).perSecond() * load / 1000;
        double requests = perMilli / 1300;
        while (requests > 0) {
            if (random.nextDouble() < requests) {
                send(strategy, customer, leader, partition, sinceCut, now);
            }
            requests -= 1;
        }
    }

    private void send(
            Strategy strategy,
            int customer,
            boolean leader,
            boolean partition,
            long sinceCut,
            long now) {
        int host = random.nextInt(deployment.hosts());
        double cost = random.nextBoolean() ? 200 : 1500 + random.nextInt(1800);
        boolean partitioned = partition && host < deployment.hosts() / 3;
        if (partitioned && sinceCut > deployment.keyLease()) {
            return;
        }
        Link link = link(host, leader, partition);
        boolean admitted = strategy.admits(host, customer, cost, link, now);
        if (admitted) {
            recordRun(customer, cost, now);
        }
        if (!exceeds(customer)) {
            requestsBelowLimit++;
            refusedBelowLimit += admitted ? 0 : 1;
        }
    }

    private boolean exceeds(int customer) {
        return faults.overload() && deployment.overloaded().contains(customer);
    }

    private Link link(int host, boolean leader, boolean partition) {
        if (!leader) {
            return Link.NONE;
        }
        return partition && host < deployment.hosts() / 3 ? faults.partitionLink() : Link.BOTH;
    }

    private void recordRun(int customer, double cost, long now) {
        Deque<Run> window = windows.get(customer);
        window.addLast(new Run(now, cost));
        windowCosts[customer] += cost;
        while (window.peekFirst().at() < now - deployment.tolerance().window().toMillis()) {
            windowCosts[customer] -= window.removeFirst().cost();
        }
        CustomerLimit limit = limit(customer);
        double seconds = deployment.tolerance().window().toMillis() / 1000.0;
        double max =
                limit.perSecond() * seconds
                        + limit.burst()
                        + deployment.tolerance().allowedExcess(limit);
        worstExcess = Math.max(worstExcess, windowCosts[customer] / max - 1);
    }
}
