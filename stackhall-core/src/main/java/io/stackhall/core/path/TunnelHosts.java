package io.stackhall.core.path;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
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

    /**
     * A host through which an upstream has answered goes before the others for this long: they may
     * be cut off without knowing it.
     */
    private static final long REACHED_NANOS = Duration.ofSeconds(3).toNanos();

    private final ZoneId zone;
    private final RandomGenerator random;
    private final Map<HostId, Integer> inUse = new HashMap<>();
    private final Map<HostId, Long> avoidedUntil = new HashMap<>();
    private final Map<Path, Long> unreachedUntil = new HashMap<>();
    private final Map<Path, Long> reachedUntil = new HashMap<>();
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
        return choose(upstream, 1, now).stream().findFirst();
    }

    /** Returns the hosts for some tunnels to an upstream, the best first; fewer if there are. */
    public List<HostId> choose(UpstreamId upstream, int count, long now) {
        List<TunnelHost> usable =
                new ArrayList<>(
                        hosts.values().stream()
                                .filter(one -> mayReach(one, upstream, now))
                                .toList());
        Collections.shuffle(usable, random);
        Comparator<TunnelHost> reachedFirst =
                Comparator.comparing(
                        one -> !isCurrent(reachedUntil, new Path(one.id(), upstream), now));
        usable.sort(reachedFirst.thenComparingInt(this::load));
        return usable.stream().limit(count).map(TunnelHost::id).toList();
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
        reachedUntil.remove(new Path(host, upstream));
    }

    /** Records that an upstream has answered through a host. */
    public void reached(HostId host, UpstreamId upstream, long now) {
        reachedUntil.values().removeIf(until -> now - until >= 0);
        reachedUntil.put(new Path(host, upstream), now + REACHED_NANOS);
    }

    /** Returns the number of requests that are sent through other hosts at present. */
    public int inUse() {
        return inUse.values().stream().mapToInt(Integer::intValue).sum();
    }

    private boolean isUsable(TunnelHost host, long now) {
        return !isCurrent(avoidedUntil, host.id(), now);
    }

    private boolean mayReach(TunnelHost host, UpstreamId upstream, long now) {
        return isUsable(host, now)
                && !isCurrent(unreachedUntil, new Path(host.id(), upstream), now);
    }

    private static <K> boolean isCurrent(Map<K, Long> until, K key, long now) {
        Long end = until.get(key);
        return end != null && now - end < 0;
    }

    private int load(TunnelHost host) {
        int distance = host.zone().equals(zone) ? 0 : OTHER_ZONE_TUNNELS;
        int impairment = host.impaired() ? IMPAIRED_TUNNELS : 0;
        return inUse.getOrDefault(host.id(), 0) + distance + impairment;
    }
}
