package io.stackhall.core.slot;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Leases the slots of brittle upstreams to hosts. Used by the leader alone.
 *
 * <p>Load pattern: an upstream without a queue falls over once it has refused some requests within
 * a second. Each of many hosts sees few of these refusals, and the load of an upstream that has
 * fallen goes to the others, which fall in turn. With leases the hosts together never have more
 * requests at an upstream than it has slots, so that it has nothing to refuse; the rest waits at
 * the hosts, which take turns.
 *
 * <p>Times named {@code now} are on the monotonic clock, in nanoseconds. Not thread-safe: used by
 * one thread.
 */
public final class SlotManager {

    /**
     * A lease ends this long after its host has asked for it. Hosts renew theirs several times in
     * this time.
     */
    static final Duration LEASE = Duration.ofSeconds(1);

    /** A lease counts for this much longer here, for the way of the request that renews it. */
    private static final Duration MARGIN = Duration.ofMillis(300);

    private final Map<UpstreamId, Map<HostId, Holder>> holders = new HashMap<>();
    private final Map<UpstreamId, Integer> capacities = new HashMap<>();
    private long grantsFrom;

    /** A host that has slots of an upstream, or waits for some. */
    private static final class Holder {
        private final HostId host;
        private int wanted;
        private int quota;
        private long requestedAt;
        private long heardAt;
        private long turn;

        private Holder(HostId host) {
            this.host = host;
        }
    }

    /**
     * Begins to decide. What a predecessor leased is not known, so that nothing more is leased
     * until that has ended.
     */
    public void lead(long now) {
        holders.clear();
        capacities.clear();
        grantsFrom = now + LEASE.plus(MARGIN).toNanos();
    }

    /** Handles what a host has and wants, and returns the leases to tell. */
    public List<SlotLease> request(SlotRequest request, long now) {
        UpstreamId upstream = request.upstream();
        capacities.put(upstream, request.slots());
        Holder holder =
                holders.computeIfAbsent(upstream, key -> new LinkedHashMap<>())
                        .computeIfAbsent(request.host(), Holder::new);
        if (holder.heardAt != 0 && request.requestedAt() - holder.requestedAt < 0) {
            return List.of();
        }
        int wanted = request.inFlight() + request.waiting();
        if (wanted > holder.wanted) {
            holder.turn = now;
        }
        holder.wanted = wanted;
        holder.quota = Math.max(request.inFlight(), Math.min(holder.quota, wanted));
        holder.requestedAt = request.requestedAt();
        holder.heardAt = now;
        List<HostId> changed = grant(upstream, now);
        if (!changed.contains(request.host())) {
            changed.add(request.host());
        }
        return changed.stream().map(host -> lease(upstream, host)).toList();
    }

    /** Ends the leases that were not renewed, and returns the leases that follow from it. */
    public List<SlotLease> advance(long now) {
        long expired = now - LEASE.plus(MARGIN).toNanos();
        List<SlotLease> leases = new ArrayList<>();
        holders.values().forEach(all -> all.values().removeIf(one -> one.heardAt - expired < 0));
        holders.values().removeIf(Map::isEmpty);
        capacities.keySet().retainAll(holders.keySet());
        for (UpstreamId upstream : holders.keySet()) {
            grant(upstream, now).forEach(host -> leases.add(lease(upstream, host)));
        }
        return leases;
    }

    /** Returns whether any host has or wants slots. */
    public boolean isIdle() {
        return holders.isEmpty();
    }

    /** Gives the free slots of an upstream to the hosts that wait, each one in its turn. */
    private List<HostId> grant(UpstreamId upstream, long now) {
        List<HostId> granted = new ArrayList<>();
        if (now - grantsFrom < 0) {
            return granted;
        }
        Map<HostId, Holder> all = holders.get(upstream);
        int free =
                capacities.get(upstream) - all.values().stream().mapToInt(one -> one.quota).sum();
        while (free > 0) {
            Optional<Holder> next =
                    all.values().stream()
                            .filter(one -> one.wanted > one.quota)
                            .min(Comparator.comparingLong(one -> one.turn));
            if (next.isEmpty()) {
                return granted;
            }
            next.get().quota++;
            next.get().turn = Math.max(now, next.get().turn + 1);
            free--;
            if (!granted.contains(next.get().host)) {
                granted.add(next.get().host);
            }
        }
        return granted;
    }

    private SlotLease lease(UpstreamId upstream, HostId host) {
        Holder holder = holders.get(upstream).get(host);
        return new SlotLease(host, upstream, holder.quota, holder.requestedAt);
    }
}
