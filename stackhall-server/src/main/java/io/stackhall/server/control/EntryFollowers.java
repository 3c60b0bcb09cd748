package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.stackhall.core.dispatch.ReportTiming;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.EmptyReportFilter;
import io.stackhall.server.fleet.HostWorkReports;
import io.stackhall.server.fleet.InstanceCodec;
import io.stackhall.server.peer.Replier;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The entry hosts that follow this control host, and what they are told. Used on one loop. */
final class EntryFollowers {

    private static final Logger logger = LogManager.getLogger(EntryFollowers.class);

    /** An entry host asks again every second. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * What an instance holds changes with orders, of which entry hosts are told apart from this; a
     * heartbeat that shows the same comes up to 1.2 s later.
     */
    private static final long HOLDINGS_MILLIS = 150;

    private final EventLoop loop;
    private final HostId self;
    private final Map<String, Follower> followers = new HashMap<>();
    private final Map<UpstreamId, Instance> untold = new LinkedHashMap<>();
    private boolean tellScheduled;
    private long workToldAt = BootClock.nanos();
    private int toldCount;

    /** An entry host that is told of changes. */
    private static final class Follower {
        private final long connection;
        private Replier replier;
        private long heardAt;
        private boolean primary;
        private final EmptyReportFilter works = new EmptyReportFilter();

        private Follower(long connection) {
            this.connection = connection;
        }
    }

    EntryFollowers(EventLoop loop, HostId self) {
        this.loop = loop;
        this.self = self;
    }

    /**
     * Notes that an entry host has asked.
     *
     * @return whether it has newly taken this host as its primary, so that it is to be told
     *     everything
     */
    boolean asked(FleetFollow follow, Replier replier) {
        Follower known = followers.get(follow.getHost());
        boolean anew = known == null || known.connection != follow.getConnection();
        Follower follower = anew ? new Follower(follow.getConnection()) : known;
        boolean newlyPrimary = follow.getPrimary() && !follower.primary;
        follower.primary = follow.getPrimary();
        follower.replier = replier;
        follower.heardAt = BootClock.nanos();
        followers.put(follow.getHost(), follower);
        if (anew) {
            logger.info(
                    "follower.joined host={} version={}",
                    follow.getHost(),
                    follow.getRoutesVersion());
        }
        return newlyPrimary;
    }

    /** Returns whether an entry host has this one as its primary. */
    boolean isPrimaryOf(HostId host) {
        Follower follower = followers.get(host.value());
        return follower != null && follower.primary;
    }

    int count() {
        return followers.size();
    }

    /** Sends a frame to each. */
    void send(Frame frame) {
        followers.values().forEach(follower -> follower.replier.send(frame));
    }

    /** Sends a frame to each that has this host as its primary. */
    void sendToPrimaries(Frame frame) {
        for (Follower follower : followers.values()) {
            if (follower.primary) {
                follower.replier.send(frame);
            }
        }
    }

    /** Sends a frame to each that has another host as its primary. */
    void sendToOthers(Frame frame) {
        for (Follower follower : followers.values()) {
            if (!follower.primary) {
                follower.replier.send(frame);
            }
        }
    }

    /** Tells each at once of instances that come, go, drain or serve a further model. */
    void begun(Collection<Instance> instances) {
        if (instances.isEmpty()) {
            return;
        }
        instances.forEach(instance -> untold.remove(instance.id()));
        send(InstanceCodec.frame(instances, false, followers.size()));
    }

    /**
     * Tells those that have this host as their primary what else has changed of instances, together
     * with what changes within 150 ms.
     */
    void changed(Collection<Instance> instances) {
        instances.forEach(instance -> untold.put(instance.id(), instance));
        if (!untold.isEmpty() && !tellScheduled) {
            tellScheduled = true;
            loop.schedule(this::tellChanges, HOLDINGS_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tellChanges() {
        tellScheduled = false;
        if (!untold.isEmpty()) {
            sendToPrimaries(
                    InstanceCodec.frame(List.copyOf(untold.values()), false, followers.size()));
            untold.clear();
        }
    }

    /**
     * Tells each that has this host as its primary the work of the others, less often the more of
     * them there are.
     */
    void tellWork(HostWorkReports works) {
        long now = BootClock.nanos();
        long primaries = followers.values().stream().filter(one -> one.primary).count();
        ReportTiming pace = new ReportTiming(Math.toIntExact(primaries));
        if (now - workToldAt < pace.interval().toNanos()) {
            return;
        }
        workToldAt = now;
        works.setHostCount(followers.size());
        followers.forEach((host, follower) -> tellWork(works, new HostId(host), follower, now));
    }

    /** What nobody works on is told once. */
    private void tellWork(HostWorkReports works, HostId host, Follower follower, long now) {
        if (!follower.primary) {
            return;
        }
        Frame others = works.frameExcluding(host, self, now);
        if (follower.works.isDue(others.getWork().getWorkCount() > 0)) {
            follower.replier.send(others);
        }
    }

    /** Forgets those that have stopped asking, and tells the others how many are left. */
    void sweep() {
        long now = BootClock.nanos();
        followers.values().removeIf(follower -> now - follower.heardAt > FORGET_NANOS);
        if (followers.size() != toldCount && !followers.isEmpty()) {
            toldCount = followers.size();
            send(InstanceCodec.frame(List.of(), false, toldCount));
        }
    }
}
