package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.stackhall.core.dispatch.ReportPace;
import io.stackhall.core.dispatch.WorkReports;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.fleet.InstanceCodec;
import io.stackhall.server.fleet.WorkCodec;
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
    private long workToldAt = System.nanoTime();
    private int toldCount;

    /** An entry host that is told of changes. */
    private static final class Follower {
        private final long connection;
        private Replier replier;
        private long heardAt;
        private boolean toldOfWork;

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
     * @return whether it follows on a new connection, so that it is to be told everything
     */
    boolean asked(FleetFollow follow, Replier replier) {
        Follower known = followers.get(follow.getHost());
        boolean anew = known == null || known.connection != follow.getConnection();
        Follower follower = anew ? new Follower(follow.getConnection()) : known;
        follower.replier = replier;
        follower.heardAt = System.nanoTime();
        followers.put(follow.getHost(), follower);
        if (anew) {
            logger.info(
                    "follower.joined host={} version={}",
                    follow.getHost(),
                    follow.getRoutesVersion());
        }
        return anew;
    }

    int count() {
        return followers.size();
    }

    /** Sends a frame to each. */
    void send(Frame frame) {
        followers.values().forEach(follower -> follower.replier.send(frame));
    }

    /**
     * Tells each of instances that have changed: at once where one comes, goes or drains, otherwise
     * together with what else changes within 150 ms.
     */
    void changed(Collection<Instance> instances, boolean atOnce) {
        instances.forEach(instance -> untold.put(instance.id(), instance));
        if (atOnce || instances.stream().anyMatch(one -> one.state() != InstanceState.READY)) {
            tellChanges();
        } else if (!tellScheduled) {
            tellScheduled = true;
            loop.schedule(this::tellChanges, HOLDINGS_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tellChanges() {
        tellScheduled = false;
        if (untold.isEmpty()) {
            return;
        }
        List<Instance> changes = List.copyOf(untold.values());
        untold.clear();
        send(InstanceCodec.frame(changes, false, followers.size()));
    }

    /** Tells each the work of the others, less often the more of them there are. */
    void tellWork(WorkReports works) {
        long now = System.nanoTime();
        if (now - workToldAt < new ReportPace(followers.size()).interval().toNanos()) {
            return;
        }
        workToldAt = now;
        works.shared(followers.size());
        followers.forEach((host, follower) -> tellWork(works, host, follower, now));
    }

    /** What nobody works on is told once. */
    private void tellWork(WorkReports works, String host, Follower follower, long now) {
        Map<UpstreamId, Integer> others = works.sumWithout(new HostId(host), now);
        if (!others.isEmpty() || follower.toldOfWork) {
            follower.replier.send(WorkCodec.encodeOthers(self, others));
            follower.toldOfWork = !others.isEmpty();
        }
    }

    /** Forgets those that have stopped asking, and tells the others how many are left. */
    void sweep() {
        long now = System.nanoTime();
        followers.values().removeIf(follower -> now - follower.heardAt > FORGET_NANOS);
        if (followers.size() != toldCount && !followers.isEmpty()) {
            toldCount = followers.size();
            send(InstanceCodec.frame(List.of(), false, toldCount));
        }
    }
}
