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
 * Plays requests of many customers at many entry hosts against a way to keep their limits: sixteen
 * customers of different size at 0.55 of their limits each, and one of them, if wanted, at 4.2
 * times its limit. Times are in milliseconds.
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

    /** What goes wrong. */
    record Faults(boolean overload, long leaderLostMillis, long partitionMillis) {}

    /** Decides which requests run. */
    interface Strategy {
        /** Returns whether a request is run at a host that reaches the leader or does not. */
        boolean admits(int host, int customer, double cost, boolean reaches, long now);

        /** The leader is lost, or another begins. */
        default void leaderChanged(long now) {}
    }

    /** A request that ran. */
    private record Run(long at, double cost) {}

    /**
     * How one play ended.
     *
     * @param worstBeyond the most by which what ran in a window exceeded what may run there, as a
     *     share of it; negative where it never did
     * @param refusedBelow the share of the requests of customers below their limits that was
     *     refused
     */
    record Result(double worstExcess, double refusedShare) {}

    LimitSimulation(long seed, Faults trouble) {
        this.random = new Random(seed);
        this.faults = trouble;
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            windows.add(new ArrayDeque<>());
        }
    }

    /** Returns the limit of a customer: a few are large, and most small. */
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

    Result run(Strategy way) {
        long lostAt = 12_000;
        long cutAt = 10_000;
        boolean leaderWas = true;
        for (long now = 0; now < DURATION; now++) {
            boolean leader = now < lostAt || now >= lostAt + faults.leaderLostMillis();
            if (leader && !leaderWas) {
                way.leaderChanged(now);
            }
            leaderWas = leader;
            long cutFor = now - cutAt;
            boolean cut = cutFor >= 0 && cutFor < faults.partitionMillis();
            for (int customer = 0; customer < CUSTOMERS; customer++) {
                generate(way, customer, leader, cut, cutFor, now);
            }
        }
        return new Result(
                worstExcess, (double) refusedBelowLimit / Math.max(1, requestsBelowLimit));
    }

    private void generate(
            Strategy way, int customer, boolean leader, boolean cut, long cutFor, long now) {
        boolean hot = faults.overload() && customer == 1 && now > 8000 && now < 20_000;
        double perMilli = limit(customer).perSecond() * (hot ? OVERLOAD : NORMAL_LOAD) / 1000;
        double requests = perMilli / 1300;
        while (requests > 0) {
            if (random.nextDouble() < requests) {
                send(way, customer, hot, leader, cut, cutFor, now);
            }
            requests -= 1;
        }
    }

    private void send(
            Strategy way,
            int customer,
            boolean hot,
            boolean leader,
            boolean cut,
            long cutFor,
            long now) {
        int host = random.nextInt(HOSTS);
        double cost = random.nextBoolean() ? 200 : 1500 + random.nextInt(1800);
        boolean apart = cut && host < HOSTS / 3;
        if (apart && cutFor > KEY_LEASE) {
            return;
        }
        boolean admitted = way.admits(host, customer, cost, leader && !apart, now);
        if (admitted) {
            recordRun(customer, cost, now);
        }
        if (!hot && !(faults.overload() && customer == 1)) {
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
        double most = limit.perSecond() * seconds + limit.burst() + TOLERANCE.allowedExcess(limit);
        worstExcess = Math.max(worstExcess, windowCosts[customer] / most - 1);
    }
}
