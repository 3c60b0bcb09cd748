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
 * The announcements of the upstreams in the zones that this host serves. Hosts of a zone forward
 * the announcements that they receive from upstreams, and exchange digests of their tables to find
 * the ones that they missed.
 */
public final class UpstreamExchange {

    private final PeerTransport transport;
    private final Map<ZoneId, UpstreamTable> tables = new HashMap<>();
    private final Map<ZoneId, Set<HostId>> peers = new HashMap<>();
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();

    /** Is notified of announced and lost upstreams. */
    public interface Listener {
        /** Called when a new announcement of an upstream was accepted. */
        void upstreamAnnounced(ZoneId zone, Announcement announcement);

        /** Called when the announcements of an upstream have timed out. */
        void upstreamLost(ZoneId zone, UpstreamId upstream);
    }

    /** Creates an exchange for the host's own zone and the zones of whose groups it is a member. */
    public UpstreamExchange(Settings settings, PeerTransport transport) {
        this.transport = transport;
        settings.groups()
                .zones()
                .forEach(
                        (zone, members) -> {
                            Set<HostId> zoneHosts = new LinkedHashSet<>(members);
                            zoneHosts.addAll(settings.hostsIn(zone));
                            if (zoneHosts.remove(settings.host())) {
                                peers.put(zone, zoneHosts);
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
     * Handles an announcement that an upstream sent to this host, and forwards it if it is new.
     *
     * @return whether this host serves the zone of the upstream
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

    /** Handles an announcement that another host has forwarded. */
    public void receive(UpstreamReport report) {
        accept(Json.read(Announcement.class, report.getAnnouncement().toByteArray()));
    }

    /** Replies to another host's digest with the announcements that are newer here. */
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

    /**
     * Sends the digest of each zone to one other host of it; called periodically.
     *
     * @param round number of the call, by which the hosts are chosen in turn
     */
    public void sendDigests(int round) {
        peers.forEach(
                (zone, hosts) -> {
                    if (!hosts.isEmpty()) {
                        List<HostId> list = List.copyOf(hosts);
                        transport.send(list.get(round % list.size()), digestFrame(zone));
                    }
                });
    }

    /** Removes the upstreams whose announcements have timed out; called periodically. */
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

    /** Returns the latest announcement of each upstream of a zone. */
    public synchronized Collection<Announcement> announcements(ZoneId zone) {
        UpstreamTable table = tables.get(zone);
        return table == null ? List.of() : table.all();
    }

    private record LostUpstream(ZoneId zone, UpstreamId upstream) {}

    private boolean accept(Announcement announcement) {
        Optional<Announcement> accepted;
        synchronized (this) {
            UpstreamTable table = tables.get(announcement.zone());
            if (table == null) {
                return false;
            }
            accepted = table.offer(announcement, BootClock.nanos());
        }
        accepted.ifPresent(
                now -> listeners.forEach(listener -> listener.upstreamAnnounced(now.zone(), now)));
        return accepted.isPresent();
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
