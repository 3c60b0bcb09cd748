package io.stackhall.server.control;

import io.netty.channel.EventLoop;
import io.stackhall.core.config.Finding;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceTable;
import io.stackhall.core.fleet.UpdateUrgency;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.stream.VersionHistory;
import io.stackhall.core.stream.VersionsSeen;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.fleet.InstanceRecord;
import io.stackhall.rpc.generated.fleet.InstancesUpdate;
import io.stackhall.rpc.generated.fleet.ResidencyChange;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.ControlHosts;
import io.stackhall.server.fleet.InstanceCodec;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.Replier;
import io.stackhall.server.settings.FleetSettings;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The registry of upstreams on a control host. Forwards what it receives to the other control
 * hosts, and pushes every change to the entry hosts that follow this host. Confined to one event
 * loop.
 */
final class FleetRegistry {

    private static final Logger logger = LogManager.getLogger(FleetRegistry.class);

    /** Heartbeats may be some seconds late; requests to a dead upstream fail earlier than this. */
    private static final int SILENT_HEARTBEATS = 5;

    /** Limits the log rate, since a foreign program may send many invalid records a second. */
    private static final long REFUSAL_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Exceeds the life of most streams: a host that has watched for less cannot vouch for all. */
    private static final Duration VOUCHING_DELAY = Duration.ofSeconds(60);

    /** A host that stood still for longer may have missed what other control hosts reported. */
    private static final long MAX_SWEEP_GAP_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop loop;
    private final PeerTransport transport;
    private final ControlHosts hosts;
    private final InstanceTable table;
    private final EntryFollowers followers;
    private final VersionHistory versions;
    private final PublishedRoutes routes;
    private List<String> committedEnds = List.of();
    private long sweptAt = BootClock.nanos();
    private long refusedRecords;
    private long refusalLoggedAt;

    FleetRegistry(
            FleetSettings settings, EventLoop loop, PeerTransport transport, ControlHosts hosts) {
        this.loop = loop;
        this.transport = transport;
        this.hosts = hosts;
        this.followers = new EntryFollowers(loop, hosts.self());
        this.routes = new PublishedRoutes(followers);
        this.table =
                new InstanceTable(settings.limits().heartbeat().multipliedBy(SILENT_HEARTBEATS));
        this.versions =
                settings.firstStart()
                        ? VersionHistory.ofNewFleet()
                        : VersionHistory.since(BootClock.nanos());
    }

    /**
     * Merges an upstream's announcement of itself, and forwards it. Announcements of a service that
     * is not in the configuration are refused until it is.
     */
    void receive(Instance instance) {
        if (isServed(instance)) {
            merge(List.of(instance), true);
        } else {
            recordRefusal(new Finding(instance.id().toString(), "unknown " + instance.service()));
        }
    }

    /**
     * A known upstream is accepted still, since it may announce that it is draining while its
     * service is removed from the configuration.
     */
    private boolean isServed(Instance instance) {
        return routes.mayServe(instance.service())
                || table.find(instance.id())
                        .filter(known -> known.service().equals(instance.service()))
                        .isPresent();
    }

    /** Counts a record that describes no valid upstream; another program may have written it. */
    void recordRefusal(Finding finding) {
        refusedRecords++;
        long now = BootClock.nanos();
        if (refusedRecords == 1 || now - refusalLoggedAt >= REFUSAL_LOG_INTERVAL_NANOS) {
            refusalLoggedAt = now;
            logger.warn("upstream.record-refused count={} {}", refusedRecords, finding);
        }
    }

    /** Returns the number of refused records. */
    long refusedRecords() {
        return refusedRecords;
    }

    /**
     * Removes an upstream that has deregistered.
     *
     * @return the incarnation that has ended: the one that is known by the name, if the given id
     *     has no start time
     */
    UpstreamId remove(UpstreamId id) {
        List<Instance> changed = table.remove(id);
        logger.info("upstream.left id={} known={}", id, !changed.isEmpty());
        if (changed.isEmpty()) {
            sendToControlHosts(InstanceCodec.goneFrame(List.of(id), followers.count()));
            followers.send(InstanceCodec.goneFrame(List.of(id), followers.count()));
        }
        publish(changed);
        return changed.stream().map(Instance::id).findFirst().orElse(id);
    }

    /**
     * Marks an upstream as draining after it has announced to a host, in an answer, that it leaves.
     */
    void drain(UpstreamId id, HostId host) {
        List<Instance> changed = table.drain(id);
        if (!changed.isEmpty()) {
            logger.info("upstream.leaving id={} by={}", id, host);
            publish(changed);
        }
    }

    /** Merges the instances that another control host has received. */
    void receive(InstancesUpdate update) {
        List<Instance> instances = new ArrayList<>();
        for (InstanceRecord item : update.getInstancesList()) {
            InstanceCodec.decode(item).peek(instances::add).peekLeft(this::recordRefusal);
        }
        merge(instances, false);
        receiveGone(InstanceCodec.gone(update));
    }

    /** Removes the upstreams whose ends the control group has committed. */
    void applyEnds(List<String> committed) {
        if (committed.equals(committedEnds)) {
            return;
        }
        Set<String> applied = new HashSet<>(committedEnds);
        committedEnds = committed;
        receiveGone(
                committed.stream()
                        .filter(id -> !applied.contains(id))
                        .map(UpstreamId::parse)
                        .toList());
    }

    /** Removes upstreams whose end this host may have missed, and notifies the entry hosts. */
    private void receiveGone(List<UpstreamId> ids) {
        List<Instance> changed = new ArrayList<>();
        List<UpstreamId> unknown = new ArrayList<>();
        for (UpstreamId id : ids) {
            boolean isNew = !table.isGone(id);
            List<Instance> removed = table.recordGone(id);
            changed.addAll(removed);
            if (isNew && removed.isEmpty()) {
                unknown.add(id);
            }
        }
        if (!unknown.isEmpty()) {
            followers.send(InstanceCodec.goneFrame(unknown, followers.count()));
        }
        notifyEntryHosts(changed);
    }

    /** Marks upstreams that have been silent for too long. Called on the leader only. */
    void expire() {
        List<Instance> changed = table.expire(BootClock.nanos());
        publish(changed);
    }

    /** Notifies all control hosts and all entry hosts of instances that are no longer usable. */
    private void publish(List<Instance> changed) {
        sendToControlHosts(changed);
        notifyEntryHosts(changed);
    }

    /** Notifies all entry hosts of instances that are no longer usable. */
    private void notifyEntryHosts(List<Instance> changed) {
        changed.forEach(instance -> versions.update(instance, BootClock.nanos()));
        changed.forEach(UpstreamLog::logChange);
        followers.notifyAllFollowers(changed);
    }

    /** Restarts the timers of silent upstreams, since this host may have been cut off itself. */
    void restartSilenceTimers() {
        table.restartSilenceTimers(BootClock.nanos());
    }

    /**
     * Records a follow request of an entry host, and sends it the updates that it lacks.
     *
     * @param initialFrames the frames that a host with this host as its new primary needs before it
     *     can serve
     */
    void handleFollow(FleetFollow follow, Replier replier, Supplier<List<Frame>> initialFrames) {
        versions.inContact(new HostId(follow.getHost()), BootClock.nanos());
        if (followers.recordFollow(follow, replier)) {
            initialFrames.get().forEach(replier::send);
            replier.send(fullUpdate());
            if (versions.watched(BootClock.nanos()).compareTo(VOUCHING_DELAY) < 0) {
                replier.send(InstanceCodec.unwatchedFrame(followers.count()));
            }
        }
        routes.handleFollow(follow, replier);
    }

    /** Notifies all entry hosts of what an instance now holds, or is about to unload. */
    void publishResidency(ResidencyChange change) {
        broadcast(Frame.newBuilder().setResidency(change).build());
    }

    /** Sends a frame to the entry hosts whose primary is this host. */
    void sendToEntryHosts(Frame frame) {
        followers.sendToPrimaries(frame);
    }

    /**
     * Sends a frame to the other control hosts and to the entry hosts whose primary is this host.
     */
    void broadcast(Frame frame) {
        sendToControlHosts(frame);
        sendToEntryHosts(frame);
    }

    /** Returns whether another control host is connected. */
    boolean isReachable(HostId host) {
        return transport.connected(host);
    }

    /** Notifies the entry hosts whose primary is this host that it knows of no leader. */
    void notifyOutOfTouch() {
        followers.sendToPrimaries(
                Frame.newBuilder()
                        .setInstances(InstancesUpdate.newBuilder().setOutOfTouch(true))
                        .build());
    }

    /** Removes entry hosts that have stopped following, and checks the other control hosts. */
    void sweep() {
        followers.sweep();
        boolean paused = BootClock.nanos() - sweptAt > MAX_SWEEP_GAP_NANOS;
        sweptAt = BootClock.nanos();
        if (paused || !hosts.knownHosts().stream().allMatch(transport::connected)) {
            restartVersionWatch();
        } else if (versions.mayBeUsedUnseen(BootClock.nanos())) {
            reportUnwatched();
        }
    }

    /**
     * Records that another control host was out of reach until now: versions of software may have
     * come and gone there unseen. Entry hosts have their streams remembered meanwhile. Before there
     * are routes, no stream can have begun.
     */
    void restartVersionWatch() {
        if (routes.version() >= 0) {
            versions.restartWatching(BootClock.nanos());
            reportUnwatched();
        }
    }

    /** Notifies entry hosts that this host cannot vouch for a single version now. */
    private void reportUnwatched() {
        followers.sendToPrimaries(InstanceCodec.unwatchedFrame(followers.count()));
    }

    /** Sends all instances to another control host. */
    void sendAll(Replier replier) {
        replier.send(fullUpdate());
    }

    Collection<Instance> instances() {
        return table.all();
    }

    /** Returns the versions of a service's software that were there within a period. */
    VersionsSeen versionsSeen(ServiceName service, Duration period) {
        return versions.seen(service, period, BootClock.nanos());
    }

    /** Returns the routes that entry hosts are sent. */
    PublishedRoutes routes() {
        return routes;
    }

    /** Returns the entry hosts that follow this host. */
    EntryFollowers followers() {
        return followers;
    }

    EventLoop loop() {
        return loop;
    }

    private void merge(List<Instance> instances, boolean fromUpstream) {
        List<Instance> merged = new ArrayList<>();
        List<Instance> batched = new ArrayList<>();
        List<Instance> urgent = new ArrayList<>();
        List<Instance> critical = new ArrayList<>();
        for (Instance instance : instances) {
            Optional<Instance> before = table.find(instance.id());
            for (Instance after : table.merge(instance, BootClock.nanos())) {
                versions.update(after, BootClock.nanos());
                merged.add(after);
                switch (UpdateUrgency.of(before, after)) {
                    case CRITICAL -> critical.add(after);
                    case URGENT -> urgent.add(after);
                    case BATCHED -> batched.add(after);
                    case NONE -> {
                        // Only the sequence number has changed.
                    }
                }
            }
        }
        sendToControlHosts(fromUpstream ? merged : List.of());
        followers.notifyAllFollowers(critical);
        followers.notifyOwnFollowers(urgent);
        followers.sendBatched(batched);
        critical.forEach(UpstreamLog::logChange);
        urgent.forEach(UpstreamLog::logChange);
        batched.forEach(UpstreamLog::logChange);
    }

    private void sendToControlHosts(List<Instance> merged) {
        if (!merged.isEmpty()) {
            sendToControlHosts(InstanceCodec.frame(merged, followers.count()));
        }
    }

    /** Sends a frame to the other control hosts. */
    void sendToControlHosts(Frame frame) {
        hosts.knownHosts().forEach(host -> transport.send(host, frame));
    }

    private Frame fullUpdate() {
        return InstanceCodec.fullFrame(table.all(), table.gone(), followers.count());
    }
}
