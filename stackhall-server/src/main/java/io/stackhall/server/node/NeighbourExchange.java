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

/** Tells hosts of other zones what this zone can serve, and hears the same of theirs. */
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

    /** Tells the other zones; to be called regularly. */
    void sendReport() {
        Announcement said =
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
        Frame frame = Frame.newBuilder().setNeighbour(encode(said)).build();
        recipients.forEach(host -> transport.send(host, frame));
    }

    /** Takes what a host of another zone says of it. */
    void receive(NeighbourReport report) {
        Announcement announcement;
        try {
            announcement = decode(report);
        } catch (IllegalArgumentException e) {
            logger.warn("neighbour.malformed host={} {}", report.getHost(), e.getMessage());
            return;
        }
        Optional<Announcement> kept;
        synchronized (neighbours) {
            kept = neighbours.offer(announcement, BootClock.nanos());
        }
        kept.ifPresent(traffic::receiveNeighbourAnnouncement);
    }

    /** Forgets the hosts that have been silent; to be called regularly. */
    void expire() {
        List<UpstreamId> lost;
        synchronized (neighbours) {
            lost = neighbours.expire(BootClock.nanos());
        }
        lost.forEach(traffic::removeNeighbour);
    }

    /** Returns the hosts of other zones that hear this one. */
    private static List<HostId> recipientsOf(Settings settings) {
        List<HostId> own = ranked(settings, settings.zone());
        List<HostId> listeners = new ArrayList<>();
        for (ZoneId zone : settings.zones()) {
            List<HostId> there = ranked(settings, zone);
            for (int rank = 0; rank < there.size() && !zone.equals(settings.zone()); rank++) {
                if (Neighbours.neighboursOf(rank, own).contains(settings.host())) {
                    listeners.add(there.get(rank));
                }
            }
        }
        return List.copyOf(listeners);
    }

    /** Every host has to count the ranks alike, whatever the order of its settings. */
    private static List<HostId> ranked(Settings settings, ZoneId zone) {
        return settings.hostsIn(zone).stream().sorted(Comparator.comparing(HostId::value)).toList();
    }

    private NeighbourReport encode(Announcement said) {
        return NeighbourReport.newBuilder()
                .setHost(settings.host().value())
                .setZone(said.zone().value())
                .setAddress(said.address())
                .setProcess(said.incarnation())
                .setSequence(said.sequence())
                .addAllModels(
                        values(said.memory().resident().stream().map(of -> of.artifact().id())))
                .addAllServices(values(said.services().stream()))
                .setAccelerators(said.memory().accelerators())
                .setSlots(said.load().slots())
                .setRunning(said.load().running())
                .setQueued(said.load().queued())
                .setLeaving(said.leaving())
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
