package io.stackhall.server.node;

import io.stackhall.core.id.HostId;
import io.stackhall.core.id.Id;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.membership.Neighbours;
import io.stackhall.core.membership.UpstreamTable;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.rpc.generated.peer.NeighbourReport;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.settings.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Announces what this zone can serve to hosts of other zones, and receives the announcements of
 * those zones.
 */
final class NeighbourExchange {

    private static final Logger logger = LogManager.getLogger(NeighbourExchange.class);

    private final Settings settings;
    private final PeerTransport transport;
    private final ConfigStore config;
    private final UpstreamExchange upstreams;
    private final BooleanSupplier stopping;
    private final TrafficDriver traffic;
    private final List<HostId> recipients;
    private final UpstreamTable neighbours;
    private final long incarnation = System.currentTimeMillis();
    private long sequence;

    NeighbourExchange(
            Settings settings,
            PeerTransport transport,
            ConfigStore config,
            UpstreamExchange upstreams,
            TrafficDriver traffic,
            BooleanSupplier stopping) {
        this.settings = settings;
        this.transport = transport;
        this.config = config;
        this.upstreams = upstreams;
        this.traffic = traffic;
        this.stopping = stopping;
        this.recipients = recipientsOf(settings);
        this.neighbours = new UpstreamTable(settings.timing().upstreamSilence());
    }

    /** Sends an announcement of this zone to the neighbours; called periodically. */
    void sendReport() {
        Announcement announcement =
                Neighbours.zoneAnnouncement(
                        new Neighbours.AnnouncingHost(
                                settings.host(),
                                settings.zone(),
                                settings.callers().toString(),
                                incarnation,
                                ++sequence),
                        upstreams.announcements(settings.zone()),
                        config.current().draining()::contains,
                        stopping.getAsBoolean());
        Frame frame = Frame.newBuilder().setNeighbour(encode(announcement)).build();
        recipients.forEach(host -> transport.send(host, frame));
    }

    /** Handles the announcement of a host for its zone; a malformed one is logged and ignored. */
    void receive(NeighbourReport report) {
        Announcement announcement;
        try {
            announcement = decode(report);
        } catch (IllegalArgumentException e) {
            logger.warn("neighbour.malformed host={} {}", report.getHost(), e.getMessage());
            return;
        }
        Optional<Announcement> accepted;
        synchronized (neighbours) {
            accepted = neighbours.offer(announcement, BootClock.nanos());
        }
        accepted.ifPresent(traffic::receiveNeighbourAnnouncement);
    }

    /** Removes the hosts whose announcements have timed out; called periodically. */
    void expire() {
        List<UpstreamId> lost;
        synchronized (neighbours) {
            lost = neighbours.expire(BootClock.nanos());
        }
        lost.forEach(traffic::removeNeighbour);
    }

    /** Returns the hosts of other zones to which this host announces its zone. */
    private static List<HostId> recipientsOf(Settings settings) {
        List<HostId> ownZone = ranked(settings, settings.zone());
        List<HostId> recipients = new ArrayList<>();
        for (ZoneId zone : settings.zones()) {
            List<HostId> otherZone = ranked(settings, zone);
            for (int rank = 0; rank < otherZone.size() && !zone.equals(settings.zone()); rank++) {
                if (Neighbours.neighboursOf(rank, ownZone).contains(settings.host())) {
                    recipients.add(otherZone.get(rank));
                }
            }
        }
        return List.copyOf(recipients);
    }

    /**
     * Sorts the hosts of a zone, so that ranks agree on all hosts whatever the order of settings.
     */
    private static List<HostId> ranked(Settings settings, ZoneId zone) {
        return settings.hostsIn(zone).stream().sorted(Comparator.comparing(HostId::value)).toList();
    }

    private NeighbourReport encode(Announcement announcement) {
        return NeighbourReport.newBuilder()
                .setHost(settings.host().value())
                .setZone(announcement.zone().value())
                .setAddress(announcement.address())
                .setProcess(announcement.incarnation())
                .setSequence(announcement.sequence())
                .addAllModels(
                        values(
                                announcement.memory().resident().stream()
                                        .map(of -> of.artifact().id())))
                .addAllServices(values(announcement.services().stream()))
                .setAccelerators(announcement.memory().accelerators())
                .setSlots(announcement.load().slots())
                .setRunning(announcement.load().running())
                .setQueued(announcement.load().queued())
                .setLeaving(announcement.leaving())
                .build();
    }

    private static Announcement decode(NeighbourReport report) {
        return new Announcement(
                Neighbours.upstreamIdOf(new HostId(report.getHost())),
                new ZoneId(report.getZone()),
                report.getAddress(),
                report.getProcess(),
                report.getSequence(),
                report.getServicesList().stream().map(ServiceName::new).toList(),
                new Announcement.Memory(
                        report.getAccelerators(),
                        0,
                        0,
                        Neighbours.residentsWithoutVersion(
                                report.getModelsList().stream().map(ModelId::new).toList())),
                new Announcement.Load(report.getSlots(), report.getRunning(), report.getQueued()),
                new Announcement.Fencing(false, 0),
                report.getLeaving(),
                List.of());
    }

    private static List<String> values(Stream<? extends Id> ids) {
        return ids.map(Id::value).toList();
    }
}
