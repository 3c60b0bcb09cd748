package io.stackhall.core.membership;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Announcements between hosts of different availability zones. A neighbour of a host is a host in
 * another zone from which it receives announcements. Each host announces to a few hosts of every
 * other zone, as if it were an upstream, what its own zone can serve.
 *
 * <p>Hosts therefore do not receive announcements of upstreams in other zones, and a request that
 * is forwarded to another zone is admitted by a host of that zone.
 *
 * @see io.stackhall.core.routing.Router
 */
public final class Neighbours {

    /** Number of hosts in each other zone from which a host receives announcements. */
    public static final int NEIGHBOURS_PER_ZONE = 2;

    private static final String PREFIX = "host/";
    private static final String ANY_VERSION = "";

    private Neighbours() {}

    /** Returns the id under which other zones treat a host as an upstream. */
    public static UpstreamId upstreamIdOf(HostId host) {
        return new UpstreamId(PREFIX + host);
    }

    /** Returns whether an id belongs to a neighbour; real upstreams must not use such names. */
    public static boolean isNeighbour(UpstreamId upstream) {
        return upstream.value().startsWith(PREFIX);
    }

    /**
     * Returns the hosts of another zone from which a host receives announcements.
     *
     * @param rank position of the host among the hosts of its own zone, starting at 0
     * @param others the hosts of the other zone, in an order that is the same on every host
     */
    public static Set<HostId> neighboursOf(int rank, List<HostId> others) {
        Set<HostId> neighbours = new LinkedHashSet<>();
        for (int offset = 0; offset < Math.min(NEIGHBOURS_PER_ZONE, others.size()); offset++) {
            neighbours.add(others.get((rank + offset) % others.size()));
        }
        return neighbours;
    }

    /**
     * A host that announces its zone to other zones.
     *
     * @param host the host
     * @param zone its zone
     * @param address where it accepts requests of callers, as {@code host:port}
     * @param process number of its process, which changes with each start and normally increases
     * @param sequence increases with each announcement of a process
     */
    public record AnnouncingHost(
            HostId host, ZoneId zone, String address, long process, long sequence) {}

    /**
     * Returns the announcement of a host for its zone, which sums up the upstreams that accept
     * work. A zone that can serve nothing yet is announced as empty and not as leaving, since
     * leaving is final for an incarnation.
     *
     * @param announcer the announcing host
     * @param upstreams the latest announcements of the zone's upstreams
     * @param draining tests whether an operator is draining an upstream
     * @param stopping whether the host itself accepts no new work
     */
    public static Announcement zoneAnnouncement(
            AnnouncingHost announcer,
            Collection<Announcement> upstreams,
            Predicate<UpstreamId> draining,
            boolean stopping) {
        List<Announcement> open =
                upstreams.stream()
                        .filter(upstream -> !upstream.leaving() && !draining.test(upstream.id()))
                        .toList();
        Set<ServiceName> services = new LinkedHashSet<>();
        Set<ModelId> models = new LinkedHashSet<>();
        int accelerators = 0;
        int slots = 0;
        int running = 0;
        int queued = 0;
        for (Announcement upstream : open) {
            services.addAll(upstream.services());
            upstream.memory().resident().forEach(resident -> models.add(resident.artifact().id()));
            accelerators += upstream.engine() ? Math.max(1, upstream.memory().accelerators()) : 0;
            slots += upstream.load().slots();
            running += upstream.load().running();
            queued += upstream.load().queued();
        }
        return new Announcement(
                upstreamIdOf(announcer.host()),
                announcer.zone(),
                announcer.address(),
                announcer.process(),
                announcer.sequence(),
                List.copyOf(services),
                new Announcement.Memory(accelerators, 0, 0, residentsWithoutVersion(models)),
                new Announcement.Load(Math.max(1, slots), running, queued),
                new Announcement.Fencing(false, 0),
                stopping,
                List.of());
    }

    /** Returns models as resident without a version, which only the zone that runs them needs. */
    public static List<Resident> residentsWithoutVersion(Collection<ModelId> models) {
        return models.stream()
                .map(model -> new Resident(new Artifact(model, ANY_VERSION), 0))
                .toList();
    }
}
