package io.stackhall.core.placement;

import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.membership.Artifact;
import io.stackhall.core.membership.Resident;
import java.util.HashMap;
import java.util.Map;

/**
 * A conservative account of one upstream's accelerator memory. It charges the artifacts in the
 * latest report and every load that may have been, or may still be, carried out.
 */
public final class MemoryAccount {

    private final long capacityMib;
    private final Map<Artifact, Long> charged;
    private final long chargedMib;

    private MemoryAccount(long capacityMib, long reservedMib, Map<Artifact, Long> charged) {
        this.capacityMib = capacityMib;
        this.charged = Map.copyOf(charged);
        this.chargedMib = reservedMib + charged.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns the account of an upstream, computed from its latest report and the zone's orders.
     */
    public static MemoryAccount of(Announcement report, OrderLedger.State orders) {
        Map<Artifact, Long> charged = new HashMap<>();
        for (Resident resident : report.memory().resident()) {
            charged.merge(resident.artifact(), resident.memoryMib(), Math::max);
        }
        orders.open().forEach(order -> charge(order, report.id(), charged));
        orders.echoes().forEach(order -> charge(order, report.id(), charged));
        return new MemoryAccount(
                report.memory().capacityMib(), report.memory().reservedMib(), charged);
    }

    /** Returns the charged memory in MiB, including the memory reserved for the KV cache. */
    public long chargedMib() {
        return chargedMib;
    }

    /**
     * Returns the memory in MiB that is free to load; negative if more than the capacity is
     * charged.
     */
    public long freeMib() {
        return capacityMib - chargedMib;
    }

    /** Returns whether the artifact is already charged. */
    public boolean isCharged(Artifact artifact) {
        return charged.containsKey(artifact);
    }

    /**
     * Returns whether a load of this size in MiB cannot overcommit the memory, whatever the outcome
     * of earlier orders.
     */
    public boolean admits(long memoryMib) {
        return memoryMib <= freeMib();
    }

    private static void charge(Order order, UpstreamId upstream, Map<Artifact, Long> charged) {
        if (order.kind() == Order.Kind.LOAD && order.upstream().equals(upstream)) {
            charged.merge(order.artifact(), order.memoryMib(), Math::max);
        }
    }
}
