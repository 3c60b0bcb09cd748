package io.stackhall.core.limit;

import io.stackhall.core.customer.AllowanceManager;
import io.stackhall.core.customer.AllowanceVerdict;
import io.stackhall.core.customer.Customer;
import io.stackhall.core.customer.CustomerLimit;
import io.stackhall.core.customer.Customers;
import io.stackhall.core.id.CustomerId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates an alternative way to enforce a limit, for comparison: each request asks the leader, as
 * for a customer's allowance, and retries at the time that the leader names.
 */
final class RetryingHostsSimulation {

    private static final CustomerId ID = new CustomerId("upstream");
    private static final long PATIENCE = Duration.ofSeconds(4).toNanos();
    private static final long DELAY = Duration.ofMillis(3).toNanos();

    private final Random random;
    private final AllowanceManager manager = new AllowanceManager();
    private final PriorityQueue<Attempt> attempts =
            new PriorityQueue<>(Comparator.comparingLong(Attempt::at));
    private final List<Long> arrivals = new ArrayList<>();
    private long refused;
    private long refusedWaitNanos;

    private record Attempt(long at, long arrivedAt) {}

    RetryingHostsSimulation(long seed, double limit) {
        random = new Random(seed);
        CustomerLimit rate = new CustomerLimit(CustomerLimit.Unit.REQUESTS, limit, 1, 1);
        Customer one = new Customer(ID, Set.of(), OptionalInt.empty(), Optional.of(rate));
        manager.configure(new Customers(List.of(one)), 0);
    }

    /**
     * Simulates requests that arrive at random at a mean rate and that only the upstream can serve.
     */
    RetryingHostsSimulation run(Duration length, double perSecond) {
        long next = 0;
        while (next < length.toNanos()) {
            attempts.add(new Attempt(next + DELAY, next));
            next += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
        }
        while (!attempts.isEmpty() && attempts.peek().at() < length.toNanos()) {
            attempt(attempts.poll());
        }
        return this;
    }

    private void attempt(Attempt ask) {
        switch (manager.take(ID, 1, ask.at())) {
            case AllowanceVerdict.Granted() -> arrivals.add(ask.at() + 2 * DELAY);
            case AllowanceVerdict.Denied(Duration after) -> {
                long again = ask.at() + 2 * DELAY + after.toNanos();
                if (again - ask.arrivedAt() > PATIENCE) {
                    refused++;
                    refusedWaitNanos += ask.at() + DELAY - ask.arrivedAt();
                } else {
                    attempts.add(new Attempt(again, ask.arrivedAt()));
                }
            }
        }
    }

    double perSecond(Duration from, Duration to) {
        long count =
                arrivals.stream().filter(at -> at >= from.toNanos() && at < to.toNanos()).count();
        return count / (to.minus(from).toMillis() / 1000.0);
    }

    Duration meanWaitOfRefused() {
        return Duration.ofNanos(refusedWaitNanos / Math.max(1, refused));
    }
}
