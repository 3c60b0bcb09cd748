package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.stackhall.core.dispatch.InstanceWork;
import io.stackhall.core.dispatch.WorkReports;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceTable;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.fleet.InstancesUpdate;
import io.stackhall.rpc.generated.fleet.ResidencyChange;
import io.stackhall.rpc.generated.fleet.RoutesUpdate;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.fleet.ControlHosts;
import io.stackhall.server.fleet.InstanceCodec;
import io.stackhall.server.fleet.WorkCodec;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.Replier;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps the list of upstreams on a control host, passes what it hears on to the other control
 * hosts, and pushes every change to the entry hosts that follow it. Used on one event loop.
 */
final class FleetKeeper {

    private static final Logger logger = LogManager.getLogger(FleetKeeper.class);

    /** Heartbeats may come some seconds late; requests to a dead upstream fail before this. */
    private static final int SILENT_HEARTBEATS = 5;

    /** An entry host asks again every second. */
    private static final long FORGET_FOLLOWER_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** A hundred messages a second at most, of 20 bytes for each instance. */
    private static final long WORK_NANOS_PER_FOLLOWER = TimeUnit.MILLISECONDS.toNanos(10);

    private final EventLoop loop;
    private final PeerTransport transport;
    private final ControlHosts hosts;
    private final InstanceTable table;
    private final Map<String, Follower> followers = new HashMap<>();
    private ControlSnapshot routes = ControlSnapshot.newBuilder().setVersion(-1).build();

    private final WorkReports works = new WorkReports();
    private long workToldAt = System.nanoTime();
    private int toldFollowers;

    /** An entry host that is told of changes. */
    private record Follower(long connection, Replier replier, long heardAt) {}

    FleetKeeper(EventLoop loop, PeerTransport transport, ControlHosts hosts, Duration heartbeat) {
        this.loop = loop;
        this.transport = transport;
        this.hosts = hosts;
        this.table = new InstanceTable(heartbeat.multipliedBy(SILENT_HEARTBEATS));
    }

    /** Takes in what an upstream says of itself, and passes it on. */
    void heard(Instance instance) {
        takeIn(List.of(instance), true);
    }

    /** Takes in that an upstream ends. */
    void left(UpstreamId id) {
        List<Instance> changed = table.remove(id);
        logger.info("upstream.left id={} known={}", id, !changed.isEmpty());
        spread(changed, changed);
    }

    /** Takes in what another control host has heard. */
    void heard(InstancesUpdate update) {
        List<Instance> instances = new ArrayList<>();
        update.getInstancesList().forEach(item -> instances.add(InstanceCodec.decode(item)));
        takeIn(instances, false);
    }

    /** Marks the upstreams that have said nothing for too long; for the leader alone. */
    void expire() {
        List<Instance> changed = table.expire(System.nanoTime());
        spread(changed, changed);
    }

    /** Starts counting silence anew, for a host that may itself have been out of touch. */
    void refresh() {
        table.refresh(System.nanoTime());
    }

    /** Answers an entry host that follows, and remembers it. */
    void followed(FleetFollow follow, Replier replier) {
        Follower known = followers.get(follow.getHost());
        boolean anew = known == null || known.connection() != follow.getConnection();
        followers.put(
                follow.getHost(), new Follower(follow.getConnection(), replier, System.nanoTime()));
        if (anew) {
            logger.info(
                    "follower.joined host={} version={}",
                    follow.getHost(),
                    follow.getRoutesVersion());
            replier.send(whole());
        }
        if (follow.getRoutesVersion() < routes.getVersion()) {
            replier.send(routesFrame(false));
        }
    }

    /** Tells an entry host the routes as a quorum has just confirmed them. */
    void confirm(Replier replier, ControlSnapshot confirmed) {
        takeRoutes(confirmed);
        replier.send(routesFrame(true));
    }

    /** Takes over a committed configuration, and pushes it. */
    void takeRoutes(ControlSnapshot next) {
        if (next.getVersion() <= routes.getVersion()) {
            return;
        }
        routes = next;
        Frame frame = routesFrame(false);
        followers.values().forEach(follower -> follower.replier().send(frame));
    }

    /** Tells every entry host what an instance holds now, or is about to hold no more. */
    void residency(ResidencyChange change) {
        Frame frame = Frame.newBuilder().setResidency(change).build();
        hosts.all().forEach(host -> transport.send(host, frame));
        passOn(frame);
    }

    /** Passes on to the entry hosts what another control host has said. */
    void passOn(Frame frame) {
        followers.values().forEach(follower -> follower.replier().send(frame));
    }

    /** Returns whether another control host is in reach. */
    boolean reaches(HostId host) {
        return transport.connected(host);
    }

    /** Takes in how many requests an entry host has at each instance. */
    void worked(HostId host, Map<UpstreamId, InstanceWork> work) {
        works.reported(host, WorkCodec.requests(work), System.nanoTime());
    }

    /** Tells each entry host the work of the others, less often the more of them there are. */
    void tellWork() {
        long now = System.nanoTime();
        if (now - workToldAt < followers.size() * WORK_NANOS_PER_FOLLOWER) {
            return;
        }
        workToldAt = now;
        followers.forEach(
                (host, follower) ->
                        follower.replier()
                                .send(
                                        WorkCodec.encodeOthers(
                                                hosts.self(),
                                                works.sumWithout(new HostId(host), now))));
    }

    /** Forgets entry hosts that have stopped asking. */
    void sweep() {
        long now = System.nanoTime();
        followers
                .entrySet()
                .removeIf(entry -> now - entry.getValue().heardAt() > FORGET_FOLLOWER_NANOS);
        if (followers.size() != toldFollowers && !followers.isEmpty()) {
            toldFollowers = followers.size();
            Frame frame = frame(List.of(), false);
            followers.values().forEach(follower -> follower.replier().send(frame));
        }
    }

    /** Tells another control host everything. */
    void tellAll(Replier replier) {
        replier.send(whole());
    }

    Collection<Instance> instances() {
        return table.all();
    }

    ControlSnapshot routes() {
        return routes;
    }

    int followers() {
        return followers.size();
    }

    EventLoop loop() {
        return loop;
    }

    private void takeIn(List<Instance> instances, boolean direct) {
        List<Instance> heard = new ArrayList<>();
        List<Instance> changed = new ArrayList<>();
        for (Instance instance : instances) {
            Instance before = table.find(instance.id()).orElse(null);
            List<Instance> merged = table.merge(instance, System.nanoTime());
            heard.addAll(merged);
            merged.stream().filter(after -> differs(before, after)).forEach(changed::add);
        }
        spread(direct ? heard : List.of(), changed);
    }

    /** Tells control hosts what was heard, and entry hosts what has changed by it. */
    private void spread(List<Instance> heard, List<Instance> changed) {
        if (!heard.isEmpty()) {
            Frame frame = frame(heard, false);
            for (HostId host : hosts.all()) {
                transport.send(host, frame);
            }
        }
        if (!changed.isEmpty()) {
            changed.forEach(FleetKeeper::log);
            Frame frame = frame(changed, false);
            followers.values().forEach(follower -> follower.replier().send(frame));
        }
    }

    private static void log(Instance instance) {
        logger.info(
                "upstream.changed id={} address={} service={} zone={} state={} sequence={}"
                        + " models={} memory={} disk={}",
                instance.id(),
                instance.address(),
                instance.service(),
                instance.zone(),
                instance.state(),
                instance.sequence(),
                instance.models(),
                instance.inHostMemory(),
                instance.onDisk());
    }

    private static boolean differs(Instance before, Instance after) {
        if (before == null || !before.id().equals(after.id())) {
            return true;
        }
        return before.state() != after.state()
                || !before.models().equals(after.models())
                || !before.inHostMemory().equals(after.inHostMemory())
                || !before.onDisk().equals(after.onDisk())
                || !before.address().equals(after.address())
                || before.slots() != after.slots();
    }

    private Frame whole() {
        return frame(table.all(), true);
    }

    private Frame frame(Collection<Instance> instances, boolean whole) {
        InstancesUpdate.Builder update =
                InstancesUpdate.newBuilder().setWhole(whole).setEntryHosts(followers.size());
        instances.forEach(instance -> update.addInstances(InstanceCodec.encode(instance)));
        return Frame.newBuilder().setInstances(update).build();
    }

    private Frame routesFrame(boolean confirmed) {
        return Frame.newBuilder()
                .setRoutes(
                        RoutesUpdate.newBuilder()
                                .setVersion(routes.getVersion())
                                .setBody(routes.getBody())
                                .setConfirmed(confirmed))
                .build();
    }
}
