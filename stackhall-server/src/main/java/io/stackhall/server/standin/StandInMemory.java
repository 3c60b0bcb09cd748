package io.stackhall.server.standin;

import io.stackhall.core.id.ModelId;
import io.stackhall.core.membership.Artifact;
import io.stackhall.core.membership.Resident;
import io.stackhall.core.placement.Order;
import io.stackhall.server.upstreams.OrderMessage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in's accelerator memory. It carries out what it is told, even beyond its capacity, and
 * counts that, so that tests can assert that it never happened.
 */
final class StandInMemory {

    private final StandInOptions options;
    private final long incarnation;
    private final Map<Artifact, Long> resident = new HashMap<>();
    private final Map<Artifact, Long> loading = new HashMap<>();
    private final Map<Long, OrderMessage.Answer> answers = new HashMap<>();
    private long sequence;
    private long highestFence;
    private long highestChargedMib;
    private int overcommits;
    private int loads;
    private int unloads;
    private int refusedOrders;

    StandInMemory(StandInOptions options, long incarnation) {
        this.options = options;
        this.incarnation = incarnation;
    }

    /** What tests ask about. */
    record Counts(
            long highestChargedMib,
            int overcommits,
            int loads,
            int unloads,
            int refusedOrders,
            List<String> resident) {}

    synchronized long nextSequence() {
        return ++sequence;
    }

    synchronized long highestFence() {
        return highestFence;
    }

    synchronized List<Resident> residents() {
        List<Resident> list = new ArrayList<>();
        resident.forEach((artifact, mib) -> list.add(new Resident(artifact, mib)));
        list.sort(Comparator.comparing(item -> item.artifact().toString()));
        return list;
    }

    synchronized boolean holds(String model) {
        return resident.keySet().stream().anyMatch(item -> item.id().value().equals(model));
    }

    synchronized Counts counts() {
        List<String> names = residents().stream().map(item -> item.artifact().toString()).toList();
        return new Counts(highestChargedMib, overcommits, loads, unloads, refusedOrders, names);
    }

    /** Carries out an order and answers it; a load takes its time. */
    OrderMessage.Answer carryOut(OrderMessage order) throws InterruptedException {
        synchronized (this) {
            OrderMessage.Answer known = answers.get(order.number());
            if (options.fencing() && known != null) {
                return known;
            }
            if (options.fencing() && order.number() < highestFence) {
                refusedOrders++;
                return answer(order, false, "fencing number " + order.number() + " is old");
            }
            if (options.fencing() && order.incarnation() != incarnation) {
                refusedOrders++;
                return answer(order, false, "meant for another incarnation");
            }
            highestFence = Math.max(highestFence, order.number());
        }
        Artifact artifact = new Artifact(new ModelId(order.model()), order.version());
        if (order.kind() == Order.Kind.LOAD) {
            load(artifact, order.memoryMib());
        } else {
            unload(artifact);
        }
        synchronized (this) {
            OrderMessage.Answer done = answer(order, true, "");
            answers.put(order.number(), done);
            return done;
        }
    }

    private void load(Artifact artifact, long memoryMib) throws InterruptedException {
        synchronized (this) {
            while (loading.containsKey(artifact)) {
                wait();
            }
            if (resident.containsKey(artifact)) {
                return;
            }
            loading.put(artifact, memoryMib);
            loads++;
            charge();
        }
        Thread.sleep(options.loadMillis());
        synchronized (this) {
            loading.remove(artifact);
            resident.put(artifact, memoryMib);
            notifyAll();
        }
    }

    private synchronized void unload(Artifact artifact) {
        if (resident.remove(artifact) != null) {
            unloads++;
        }
    }

    private void charge() {
        long charged = options.reservedMib();
        for (long mib : resident.values()) {
            charged += mib;
        }
        for (long mib : loading.values()) {
            charged += mib;
        }
        highestChargedMib = Math.max(highestChargedMib, charged);
        if (charged > options.memoryMib()) {
            overcommits++;
        }
    }

    private OrderMessage.Answer answer(OrderMessage order, boolean carriedOut, String reason) {
        return new OrderMessage.Answer(
                order.number(), incarnation, sequence + 1, carriedOut, reason);
    }
}
