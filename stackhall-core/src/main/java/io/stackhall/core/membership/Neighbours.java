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
 * How the hosts of different zones know each other: each announces to a few hosts of every other
 * zone, as if it were an upstream, what its own zone can serve.
 *
 * <p>So no host hears the upstreams of other zones, and a request that is passed on is admitted by
 * a host of the zone that runs it.
 *
 * @see io.stackhall.core.routing.Router
 */
public final class Neighbours {

    /** How many hosts of each other zone a host hears. */
    public static final int NEIGHBOURS_PER_ZONE = 2;

    private static final String PREFIX = "host/";
    private static final String ANY_VERSION = "";

    private Neighbours() {}

    /** Returns the name under which a host is an upstream to other zones. */
    public static UpstreamId upstreamIdOf(HostId host) {
        return new UpstreamId(PREFIX + host);
    }

    /** Returns whether a name is one of those; no upstream may take such a name. */
    public static boolean isNeighbour(UpstreamId upstream) {
        return upstream.value().startsWith(PREFIX);
    }

    /**
     * Returns which hosts of another zone a host hears.
     *
     * @param rank the place of the host among those of its own zone
     * @param others the hosts of the other zone, in the same order everywhere
     */
    public static Set<HostId> neighboursOf(int rank, List<HostId> others) {
        Set<HostId> neighbours = new LinkedHashSet<>();
        for (int offset = 0; offset < Math.min(NEIGHBOURS_PER_ZONE, others.size()); offset++) {
            neighbours.add(others.get((rank + offset) % others.size()));
        }
        return neighbours;
    }

    /**
     * Who speaks for a zone.
     *
     * @param host the host
     * @param zone its zone
     * @param address where it takes callers' requests, as {@code host:port}
     * @param process rises or changes with each start of its process
     * @param sequence rises with each announcement of a process
     */
    public record AnnouncingHost(
            HostId host, ZoneId zone, String address, long process, long sequence) {}

    /**
     * Returns what a host says of its zone. A zone that has nothing to offer yet says just that; it
     * is not leaving, which is never taken back.
     *
     * @param upstreams the latest announcements of the zone's upstreams
     * @param draining which of them take no new work
     * @param stopping whether the host itself takes no new work
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

    /** Returns models as resident without a version: that is the other zone's own matter. */
    public static List<Resident> residentsWithoutVersion(Collection<ModelId> models) {
        return models.stream()
                .map(model -> new Resident(new Artifact(model, ANY_VERSION), 0))
                .toList();
    }
}
