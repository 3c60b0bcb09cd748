package io.stackhall.core.path;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the host through which one host opens its next tunnel.
 *
 * <p>Answers the load of a host that sends all of its callers' requests through a few others: they
 * share it by the tunnels in use, those of the own zone first. One that does not reach an upstream
 * itself is left out for that upstream alone, as it may reach the others.
 *
 * <p>Times named {@code now} are on the monotonic clock, in nanoseconds. Not thread-safe: used by
 * one thread.
 */
public final class TunnelHosts {

    /** A host in another zone counts as if it had this many more tunnels in use. */
    private static final int OTHER_ZONE_TUNNELS = 4;

    /** An impaired host counts as if it had this many more tunnels in use. */
    private static final int IMPAIRED_TUNNELS = 16;

    /**
     * A host that declined a tunnel, or could not be reached, is avoided for this long: it may be
     * cut off or stop, and says so to the control hosts within that time.
     */
    private static final long AVOIDED_NANOS = Duration.ofSeconds(1).toNanos();

    private final ZoneId zone;
    private final RandomGenerator random;
    private final Map<HostId, Integer> inUse = new HashMap<>();
    private final Map<HostId, Long> avoidedUntil = new HashMap<>();
    private final Map<Path, Long> unreachedUntil = new HashMap<>();
    private final Map<HostId, TunnelHost> hosts = new LinkedHashMap<>();

    private record Path(HostId host, UpstreamId upstream) {}

    /**
     * Creates a list without hosts.
     *
     * @param zone the zone of the host that opens the tunnels
     */
    public TunnelHosts(ZoneId zone, RandomGenerator random) {
        this.zone = zone;
        this.random = random;
    }

    /** Replaces the hosts that may be used. */
    public void replace(List<TunnelHost> next) {
        hosts.clear();
        next.forEach(host -> hosts.put(host.id(), host));
        avoidedUntil.keySet().retainAll(hosts.keySet());
    }

    /** Returns the host for the next tunnel to an upstream, or empty if there is none now. */
    public Optional<HostId> choose(UpstreamId upstream, long now) {
        List<TunnelHost> usable =
                hosts.values().stream().filter(one -> mayReach(one, upstream, now)).toList();
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        TunnelHost best = usable.get(random.nextInt(usable.size()));
        for (TunnelHost host : usable) {
            if (load(host) < load(best)) {
                best = host;
            }
        }
        return Optional.of(best.id());
    }

    /** Returns whether no host is known that accepts tunnels. */
    public boolean isEmpty() {
        return hosts.isEmpty();
    }

    /** Returns whether there is a host for a tunnel to any upstream at present. */
    public boolean isAvailable(long now) {
        return hosts.values().stream().anyMatch(host -> isUsable(host, now));
    }

    /** Returns whether there is a host for a tunnel to an upstream at present. */
    public boolean isAvailable(UpstreamId upstream, long now) {
        return hosts.values().stream().anyMatch(host -> mayReach(host, upstream, now));
    }

    /** Records that a request is sent through a host. */
    public void opened(HostId host) {
        inUse.merge(host, 1, Integer::sum);
    }

    /** Records that a request that was sent through a host has ended. */
    public void closed(HostId host) {
        inUse.computeIfPresent(host, (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Records that a host declined a tunnel or could not be reached. */
    public void failed(HostId host, long now) {
        avoidedUntil.put(host, now + AVOIDED_NANOS);
    }

    /** Records that a host does not reach an upstream itself. */
    public void unreached(HostId host, UpstreamId upstream, long now) {
        unreachedUntil.values().removeIf(until -> now - until >= 0);
        unreachedUntil.put(new Path(host, upstream), now + AVOIDED_NANOS);
    }

    /** Returns the number of requests that are sent through other hosts at present. */
    public int inUse() {
        return inUse.values().stream().mapToInt(Integer::intValue).sum();
    }

    private boolean isUsable(TunnelHost host, long now) {
        Long until = avoidedUntil.get(host.id());
        return until == null || now - until >= 0;
    }

    private boolean mayReach(TunnelHost host, UpstreamId upstream, long now) {
        Long until = unreachedUntil.get(new Path(host.id(), upstream));
        return isUsable(host, now) && (until == null || now - until >= 0);
    }

    private int load(TunnelHost host) {
        int distance = host.zone().equals(zone) ? 0 : OTHER_ZONE_TUNNELS;
        int impairment = host.impaired() ? IMPAIRED_TUNNELS : 0;
        return inUse.getOrDefault(host.id(), 0) + distance + impairment;
    }
}
