package io.stackhall.core.path;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ZoneId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Assigns to each host the few others through which it may open tunnels to upstreams.
 *
 * <p>The hosts are arranged in a ring by their hashed names, and each may use those that follow it.
 * Whichever hosts are cut off, each of the others is thus used by a few; and all control hosts
 * assign the same ones without agreeing on them. Hosts that are impaired come last: what they do
 * not reach themselves they are asked for in vain.
 */
public final class TunnelRing {

    /** Hosts of the own zone, and of all others together, that a host may use. */
    private static final int HOSTS_PER_SIDE = 4;

    /** An odd multiplier with mixed bits: names that differ in one character lie far apart. */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    private final NavigableMap<String, TunnelHost> ring = new TreeMap<>();

    /**
     * Creates a ring.
     *
     * @param hosts the hosts that accept tunnels of others
     */
    public TunnelRing(Collection<TunnelHost> hosts) {
        hosts.forEach(host -> ring.put(position(host.id()), host));
    }

    /** Returns the hosts that a host may use, those of its own zone first. */
    public List<TunnelHost> hostsFor(HostId host, ZoneId zone) {
        List<TunnelHost> near = new ArrayList<>();
        List<TunnelHost> far = new ArrayList<>();
        List<TunnelHost> others = new ArrayList<>();
        String start = position(host);
        others.addAll(ring.tailMap(start, false).values());
        others.addAll(ring.headMap(start, false).values());
        others.sort(Comparator.comparing(TunnelHost::impaired));
        collect(others, zone, near, far);
        near.addAll(far);
        return List.copyOf(near);
    }

    private static void collect(
            Collection<TunnelHost> hosts,
            ZoneId zone,
            List<TunnelHost> near,
            List<TunnelHost> far) {
        for (TunnelHost host : hosts) {
            List<TunnelHost> side = host.zone().equals(zone) ? near : far;
            if (side.size() < HOSTS_PER_SIDE) {
                side.add(host);
            }
        }
    }

    private static String position(HostId host) {
        return String.format("%08x %s", host.value().hashCode() * HASH_MULTIPLIER, host.value());
    }
}
