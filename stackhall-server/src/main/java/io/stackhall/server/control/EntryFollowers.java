package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.stackhall.core.dispatch.ReportTiming;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.path.TunnelHost;
import io.stackhall.core.path.TunnelRing;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.EmptyReportFilter;
import io.stackhall.server.fleet.HostWorkReports;
import io.stackhall.server.fleet.InstanceCodec;
import io.stackhall.server.fleet.TunnelCodec;
import io.stackhall.server.peer.Replier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The entry hosts that follow this control host, and the updates sent to them. Confined to one
 * event loop.
 */
final class EntryFollowers {

    private static final Logger logger = LogManager.getLogger(EntryFollowers.class);

    /** Entry hosts repeat their follow request every second. */
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * How long changes that are not urgent are batched. What an instance holds changes with orders,
     * of which entry hosts are notified separately; the heartbeat that shows the same change comes
     * up to 1.2 s later.
     */
    private static final long BATCH_MILLIS = 150;

    /** Hosts that are cut off together notice it within some ten milliseconds of each other. */
    private static final long TUNNEL_BATCH_MILLIS = 20;

    private final EventLoop loop;
    private final HostId self;
    private final Map<String, Follower> followers = new HashMap<>();
    private final Map<UpstreamId, Instance> pendingUpdates = new LinkedHashMap<>();
    private boolean flushScheduled;
    private boolean tunnelHostsScheduled;
    private long workSentAt = BootClock.nanos();
    private int reportedCount;

    /** An entry host that receives updates. */
    private static final class Follower {
        private final long connection;
        private Replier replier;
        private long followedAt;
        private boolean primary;
        private Optional<ZoneId> zone = Optional.empty();
        private boolean refusesTunnels;
        private boolean impaired;
        private List<TunnelHost> tunnelHosts = List.of();
        private final EmptyReportFilter workReports = new EmptyReportFilter();

        private Follower(long connection) {
            this.connection = connection;
        }
    }

    EntryFollowers(EventLoop loop, HostId self) {
        this.loop = loop;
        this.self = self;
    }

    /**
     * Records a follow request of an entry host.
     *
     * @return whether the entry host has newly chosen this host as its primary and needs the full
     *     state
     */
    boolean recordFollow(FleetFollow follow, Replier replier) {
        Follower known = followers.get(follow.getHost());
        boolean isNew = known == null || known.connection != follow.getConnection();
        Follower follower = isNew ? new Follower(follow.getConnection()) : known;
        boolean newlyPrimary = follow.getPrimary() && !follower.primary;
        if (newlyPrimary) {
            follower.tunnelHosts = List.of();
        }
        follower.primary = follow.getPrimary();
        follower.replier = replier;
        follower.followedAt = BootClock.nanos();
        boolean tunnelsChange =
                isNew
                        || follower.refusesTunnels != follow.getRefusesTunnels()
                        || follower.impaired != follow.getImpaired();
        follower.refusesTunnels = follow.getRefusesTunnels();
        follower.impaired = follow.getImpaired();
        follower.zone =
                Optional.of(follow.getZone()).filter(name -> !name.isEmpty()).map(ZoneId::new);
        followers.put(follow.getHost(), follower);
        if (tunnelsChange || newlyPrimary) {
            scheduleTunnelHosts();
        }
        if (isNew) {
            logger.info(
                    "follower.joined host={} version={}",
                    follow.getHost(),
                    follow.getRoutesVersion());
        }
        return newlyPrimary;
    }

    /** Returns whether this host is the primary of an entry host. */
    boolean isPrimaryOf(HostId host) {
        Follower follower = followers.get(host.value());
        return follower != null && follower.primary;
    }

    int count() {
        return followers.size();
    }

    /** Sends a frame to all followers. */
    void send(Frame frame) {
        followers.values().forEach(follower -> follower.replier.send(frame));
    }

    /** Sends a frame to the followers whose primary is this host. */
    void sendToPrimaries(Frame frame) {
        for (Follower follower : followers.values()) {
            if (follower.primary) {
                follower.replier.send(frame);
            }
        }
    }

    /** Sends a frame to the followers whose primary is another host. */
    void sendToOthers(Frame frame) {
        for (Follower follower : followers.values()) {
            if (!follower.primary) {
                follower.replier.send(frame);
            }
        }
    }

    /**
     * Notifies all followers at once of instances that leave, drain, turn cold or have a new
     * incarnation or address.
     */
    void notifyAllFollowers(Collection<Instance> instances) {
        if (!instances.isEmpty()) {
            send(updateOf(instances));
        }
    }

    /**
     * Notifies the followers whose primary is this host at once of instances that join or serve an
     * additional model.
     */
    void notifyOwnFollowers(Collection<Instance> instances) {
        if (!instances.isEmpty()) {
            sendToPrimaries(updateOf(instances));
        }
    }

    private Frame updateOf(Collection<Instance> instances) {
        instances.forEach(instance -> pendingUpdates.remove(instance.id()));
        return InstanceCodec.frame(instances, followers.size());
    }

    /**
     * Notifies the followers whose primary is this host of other changes to instances, batched with
     * those of the next 150 ms.
     */
    void sendBatched(Collection<Instance> instances) {
        instances.forEach(instance -> pendingUpdates.put(instance.id(), instance));
        if (!pendingUpdates.isEmpty() && !flushScheduled) {
            flushScheduled = true;
            loop.schedule(this::flushPending, BATCH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void flushPending() {
        flushScheduled = false;
        if (!pendingUpdates.isEmpty()) {
            sendToPrimaries(
                    InstanceCodec.frame(List.copyOf(pendingUpdates.values()), followers.size()));
            pendingUpdates.clear();
        }
    }

    /**
     * Sends each follower whose primary is this host the work of the other hosts; the more such
     * followers there are, the longer the interval.
     */
    void sendWork(HostWorkReports board) {
        long now = BootClock.nanos();
        long primaries = followers.values().stream().filter(one -> one.primary).count();
        ReportTiming timing = new ReportTiming(Math.toIntExact(primaries));
        if (now - workSentAt < timing.interval().toNanos()) {
            return;
        }
        workSentAt = now;
        board.setHostCount(followers.size());
        followers.forEach((host, follower) -> sendWork(board, new HostId(host), follower, now));
    }

    /** A report without work is sent only once in a row. */
    private void sendWork(HostWorkReports board, HostId host, Follower follower, long now) {
        if (!follower.primary) {
            return;
        }
        Frame others = board.frameExcluding(host, self, now);
        if (follower.workReports.isDue(others.getWork().getWorkCount() > 0)) {
            follower.replier.send(others);
        }
    }

    /** Assigns tunnel hosts anew, together with what else changes in the next milliseconds. */
    private void scheduleTunnelHosts() {
        if (!tunnelHostsScheduled) {
            tunnelHostsScheduled = true;
            loop.schedule(this::sendTunnelHosts, TUNNEL_BATCH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sends each follower whose primary is this host the hosts that it may use, if they changed.
     */
    private void sendTunnelHosts() {
        tunnelHostsScheduled = false;
        List<TunnelHost> accepting = new ArrayList<>();
        followers.forEach(
                (host, follower) -> {
                    if (!follower.refusesTunnels) {
                        follower.zone.ifPresent(
                                zone ->
                                        accepting.add(
                                                new TunnelHost(
                                                        new HostId(host),
                                                        zone,
                                                        follower.impaired)));
                    }
                });
        TunnelRing ring = new TunnelRing(accepting);
        followers.forEach((host, follower) -> sendAssigned(ring, new HostId(host), follower));
    }

    private static void sendAssigned(TunnelRing ring, HostId host, Follower follower) {
        if (!follower.primary || follower.zone.isEmpty()) {
            return;
        }
        List<TunnelHost> assigned = ring.hostsFor(host, follower.zone.get());
        if (!assigned.equals(follower.tunnelHosts)) {
            follower.tunnelHosts = assigned;
            follower.replier.send(TunnelCodec.encode(assigned));
        }
    }

    /** Removes followers that have stopped following, and notifies the rest of their new count. */
    void sweep() {
        long now = BootClock.nanos();
        if (followers.values().removeIf(one -> now - one.followedAt > EXPIRY_NANOS)) {
            scheduleTunnelHosts();
        }
        if (followers.size() != reportedCount && !followers.isEmpty()) {
            reportedCount = followers.size();
            send(InstanceCodec.frame(List.of(), reportedCount));
        }
    }
}
