package io.stackhall.server.node;

import com.google.protobuf.ByteString;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.membership.UpstreamTable;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.rpc.generated.peer.UpstreamDigest;
import io.stackhall.rpc.generated.peer.UpstreamReport;
import io.stackhall.rpc.generated.peer.UpstreamVersion;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.json.Json;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.Replier;
import io.stackhall.server.settings.Settings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What this host knows of the upstreams of the zones it serves: heard from them, or from other
 * hosts of the zone, which pass on what they hear and compare what they hold.
 */
public final class UpstreamExchange {

    private final PeerTransport transport;
    private final Map<ZoneId, UpstreamTable> tables = new HashMap<>();
    private final Map<ZoneId, Set<HostId>> peers = new HashMap<>();
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();

    /** Hears what becomes known of upstreams. */
    public interface Listener {
        /** An upstream has announced itself. */
        void upstreamAnnounced(ZoneId zone, Announcement announcement);

        /** An upstream has been silent for too long. */
        void upstreamLost(ZoneId zone, UpstreamId upstream);
    }

    /** Creates an exchange for the host's own zone and the zones whose groups it is in. */
    public UpstreamExchange(Settings settings, PeerTransport transport) {
        this.transport = transport;
        settings.groups()
                .zones()
                .forEach(
                        (zone, members) -> {
                            Set<HostId> concerned = new LinkedHashSet<>(members);
                            concerned.addAll(settings.hostsIn(zone));
                            if (concerned.remove(settings.host())) {
                                peers.put(zone, concerned);
                                Settings.Timing timing = settings.timing();
                                tables.put(zone, new UpstreamTable(timing.upstreamSilence()));
                            }
                        });
    }

    /** Adds a listener. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Takes an announcement from an upstream itself and passes it on.
     *
     * @return whether its zone is one that this host serves
     */
    public boolean receiveAnnouncement(Announcement announcement) {
        if (!tables.containsKey(announcement.zone())) {
            return false;
        }
        if (accept(announcement)) {
            Frame frame = reportFrame(announcement);
            peers.get(announcement.zone()).forEach(host -> transport.send(host, frame));
        }
        return true;
    }

    /** Takes an announcement that another host has passed on. */
    public void receive(UpstreamReport report) {
        accept(Json.read(Announcement.class, report.getAnnouncement().toByteArray()));
    }

    /** Answers another host's digest with what is newer here. */
    public void receive(UpstreamDigest digest, Replier replier) {
        Map<String, UpstreamVersion> theirs = new HashMap<>();
        digest.getVersionsList().forEach(version -> theirs.put(version.getId(), version));
        ZoneId zone = new ZoneId(digest.getZone());
        for (Announcement mine : announcements(zone)) {
            UpstreamVersion known = theirs.get(mine.id().value());
            if (known == null || isNewer(mine, known)) {
                replier.send(reportFrame(mine));
            }
        }
    }

    /** Compares what is held with one other host of each zone; to be called regularly. */
    public void sendDigests(int turn) {
        peers.forEach(
                (zone, hosts) -> {
                    if (!hosts.isEmpty()) {
                        List<HostId> list = List.copyOf(hosts);
                        transport.send(list.get(turn % list.size()), digestFrame(zone));
                    }
                });
    }

    /** Drops the upstreams that have been silent; to be called regularly. */
    public void expire() {
        List<LostUpstream> lost = new ArrayList<>();
        synchronized (this) {
            tables.forEach(
                    (zone, table) ->
                            table.expire(BootClock.nanos())
                                    .forEach(
                                            upstream ->
                                                    lost.add(new LostUpstream(zone, upstream))));
        }
        for (LostUpstream item : lost) {
            listeners.forEach(listener -> listener.upstreamLost(item.zone(), item.upstream()));
        }
    }

    /** Returns the latest announcements of a zone. */
    public synchronized Collection<Announcement> announcements(ZoneId zone) {
        UpstreamTable table = tables.get(zone);
        return table == null ? List.of() : table.all();
    }

    private record LostUpstream(ZoneId zone, UpstreamId upstream) {}

    private boolean accept(Announcement announcement) {
        Optional<Announcement> kept;
        synchronized (this) {
            UpstreamTable table = tables.get(announcement.zone());
            if (table == null) {
                return false;
            }
            kept = table.offer(announcement, BootClock.nanos());
        }
        kept.ifPresent(
                now -> listeners.forEach(listener -> listener.upstreamAnnounced(now.zone(), now)));
        return kept.isPresent();
    }

    private Frame digestFrame(ZoneId zone) {
        UpstreamDigest.Builder digest = UpstreamDigest.newBuilder().setZone(zone.value());
        for (Announcement mine : announcements(zone)) {
            digest.addVersions(
                    UpstreamVersion.newBuilder()
                            .setId(mine.id().value())
                            .setIncarnation(mine.incarnation())
                            .setSequence(mine.sequence()));
        }
        return Frame.newBuilder().setDigest(digest).build();
    }

    private static boolean isNewer(Announcement mine, UpstreamVersion theirs) {
        if (mine.incarnation() != theirs.getIncarnation()) {
            return mine.incarnation() > theirs.getIncarnation();
        }
        return mine.sequence() > theirs.getSequence();
    }

    private static Frame reportFrame(Announcement announcement) {
        byte[] bytes = Json.write(Announcement.class, announcement);
        return Frame.newBuilder()
                .setUpstream(
                        UpstreamReport.newBuilder().setAnnouncement(ByteString.copyFrom(bytes)))
                .build();
    }
}
