package io.stackhall.server.control;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.stackhall.core.config.Finding;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceTable;
import io.stackhall.core.fleet.UpdateUrgency;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.route.RouteTable;
import io.stackhall.core.route.ServiceEntry;
import io.stackhall.platform.ConfigurationDecoder;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.fleet.InstanceRecord;
import io.stackhall.rpc.generated.fleet.InstancesUpdate;
import io.stackhall.rpc.generated.fleet.ResidencyChange;
import io.stackhall.rpc.generated.fleet.RoutesUpdate;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.ControlHosts;
import io.stackhall.server.fleet.InstanceCodec;
import io.stackhall.server.fleet.RoutesCodec;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.Replier;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
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

    /** Another writer may send many records a second. */
    private static final long REFUSAL_LOG_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final EventLoop loop;
    private final PeerTransport transport;
    private final ControlHosts hosts;
    private final InstanceTable table;
    private final EntryFollowers followers;
    private ByteString packedRoutes = ByteString.EMPTY;
    private ControlSnapshot routes = ControlSnapshot.newBuilder().setVersion(-1).build();

    private Optional<RouteTable> routeTable = Optional.empty();
    private Set<ServiceName> services = Set.of();
    private long refusedRecords;
    private long refusalLoggedAt;

    FleetKeeper(EventLoop loop, PeerTransport transport, ControlHosts hosts, Duration heartbeat) {
        this.loop = loop;
        this.transport = transport;
        this.hosts = hosts;
        this.followers = new EntryFollowers(loop, hosts.self());
        this.table = new InstanceTable(heartbeat.multipliedBy(SILENT_HEARTBEATS));
    }

    /**
     * Takes in what an upstream says of itself, and passes it on. One of a service that the
     * configuration does not name is left aside until it does.
     */
    void heard(Instance instance) {
        if (isServed(instance)) {
            takeIn(List.of(instance), true);
        } else {
            refused(new Finding(instance.id().toString(), "unknown " + instance.service()));
        }
    }

    /** What is known already is heard on: it may say that it drains while its service goes. */
    private boolean isServed(Instance instance) {
        return services.isEmpty()
                || services.contains(instance.service())
                || table.find(instance.id())
                        .filter(known -> known.service().equals(instance.service()))
                        .isPresent();
    }

    /** Notes a record that describes no upstream; some other program may have written it. */
    void refused(Finding finding) {
        refusedRecords++;
        long now = BootClock.nanos();
        if (refusedRecords == 1 || now - refusalLoggedAt >= REFUSAL_LOG_NANOS) {
            refusalLoggedAt = now;
            logger.warn("upstream.record-refused count={} {}", refusedRecords, finding);
        }
    }

    /** Returns how many records were refused. */
    long refusedRecords() {
        return refusedRecords;
    }

    /** Takes in that an upstream ends. */
    void left(UpstreamId id) {
        List<Instance> changed = table.remove(id);
        logger.info("upstream.left id={} known={}", id, !changed.isEmpty());
        tellChanged(changed);
    }

    /** Takes in that an upstream has said that it leaves, in an answer to some host. */
    void leaving(UpstreamId id, HostId host) {
        List<Instance> changed = table.drain(id);
        if (!changed.isEmpty()) {
            logger.info("upstream.leaving id={} by={}", id, host);
            tellChanged(changed);
        }
    }

    /** Takes in what another control host has heard. */
    void heard(InstancesUpdate update) {
        List<Instance> instances = new ArrayList<>();
        for (InstanceRecord item : update.getInstancesList()) {
            InstanceCodec.decode(item).peek(instances::add).peekLeft(this::refused);
        }
        takeIn(instances, false);
    }

    /** Marks the upstreams that have said nothing for too long; for the leader alone. */
    void expire() {
        List<Instance> changed = table.expire(BootClock.nanos());
        tellChanged(changed);
    }

    private void tellChanged(List<Instance> changed) {
        toControlHosts(changed);
        toEntryHosts(changed, List.of());
    }

    /** Starts counting silence anew, for a host that may itself have been out of touch. */
    void refresh() {
        table.restartSilenceTimers(BootClock.nanos());
    }

    /**
     * Answers an entry host that follows, and remembers it.
     *
     * @param first what a host is told that newly relies on this one, before it can serve
     */
    void followed(FleetFollow follow, Replier replier, Supplier<List<Frame>> first) {
        if (followers.asked(follow, replier)) {
            first.get().forEach(replier::send);
            replier.send(whole());
        }
        if (follow.getRoutesVersion() < routes.getVersion()) {
            replier.send(routes(follow));
        }
    }

    /**
     * Only its primary tells an entry host the whole configuration, the others its version: told by
     * each of six control hosts, one of 30 KB took 16 MB on its way to 89 entry hosts (reckoned).
     */
    private Frame routes(FleetFollow follow) {
        boolean whole = follow.getPrimary() || follow.getWantsRoutes();
        return frame(whole ? wholeRoutes() : routesVersion());
    }

    /** Tells an entry host the routes as a quorum has just confirmed them. */
    void confirm(Confirmations.Ask ask) {
        FleetFollow follow = ask.follow();
        boolean lacks = follow.getRoutesVersion() < routes.getVersion();
        boolean whole = lacks && (follow.getPrimary() || follow.getWantsRoutes());
        RoutesUpdate.Builder update = whole ? wholeRoutes() : routesVersion();
        ask.replier().send(frame(update.setConfirmed(true).setAskedAt(follow.getAskedAt())));
    }

    /**
     * Takes over a committed configuration, and pushes it.
     *
     * @return whether it is a newer one
     */
    boolean takeRoutes(ControlSnapshot next) {
        if (next.getVersion() <= routes.getVersion()) {
            return false;
        }
        logger.info(
                "routes.told version={} was={} followers={}",
                next.getVersion(),
                routes.getVersion(),
                followers.count());
        routes = next;
        decodeRoutes();
        packedRoutes = RoutesCodec.compress(routes.getBody());
        followers.sendToPrimaries(frame(wholeRoutes()));
        followers.sendToOthers(frame(routesVersion()));
        return true;
    }

    /** Tells every entry host what an instance holds now, or is about to hold no more. */
    void residency(ResidencyChange change) {
        tellOthers(Frame.newBuilder().setResidency(change).build());
    }

    /** Passes on what the giver of orders has said to the entry hosts that rely on this host. */
    void passOn(Frame frame) {
        followers.sendToPrimaries(frame);
    }

    /** Sends a frame to the other control hosts and to the entry hosts that rely on this one. */
    void tellOthers(Frame frame) {
        toControlHosts(frame);
        passOn(frame);
    }

    /** Returns whether another control host is in reach. */
    boolean reaches(HostId host) {
        return transport.connected(host);
    }

    /** Tells the entry hosts that rely on this host that it knows of no leader. */
    void outOfTouch() {
        followers.sendToPrimaries(
                Frame.newBuilder()
                        .setInstances(InstancesUpdate.newBuilder().setOutOfTouch(true))
                        .build());
    }

    /** Forgets entry hosts that have stopped asking. */
    void sweep() {
        followers.sweep();
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

    /** Returns the newest configuration that could be read. */
    Optional<RouteTable> routeTable() {
        return routeTable;
    }

    /** Returns the entry hosts that follow this host. */
    EntryFollowers followers() {
        return followers;
    }

    EventLoop loop() {
        return loop;
    }

    private void takeIn(List<Instance> instances, boolean direct) {
        List<Instance> heard = new ArrayList<>();
        List<Instance> changed = new ArrayList<>();
        List<Instance> begun = new ArrayList<>();
        for (Instance instance : instances) {
            Optional<Instance> before = table.find(instance.id());
            for (Instance after : table.merge(instance, BootClock.nanos())) {
                heard.add(after);
                switch (UpdateUrgency.of(before, after)) {
                    case URGENT -> begun.add(after);
                    case BATCHED -> changed.add(after);
                    case NONE -> {
                        // Only its sequence has risen.
                    }
                }
            }
        }
        toControlHosts(direct ? heard : List.of());
        toEntryHosts(begun, changed);
    }

    private void toControlHosts(List<Instance> heard) {
        if (!heard.isEmpty()) {
            toControlHosts(InstanceCodec.frame(heard, false, followers.count()));
        }
    }

    /** Sends a frame to the other control hosts. */
    void toControlHosts(Frame frame) {
        hosts.knownHosts().forEach(host -> transport.send(host, frame));
    }

    private void toEntryHosts(List<Instance> begun, List<Instance> changed) {
        begun.forEach(FleetKeeper::log);
        changed.forEach(FleetKeeper::log);
        followers.begun(begun);
        followers.changed(changed);
    }

    private static void log(Instance instance) {
        logger.info(
                "upstream.changed id={} address={} service={} zone={} state={} sequence={}"
                        + " models={}",
                instance.id(),
                instance.address(),
                instance.service(),
                instance.zone(),
                instance.state(),
                instance.sequence(),
                instance.models());
    }

    private void decodeRoutes() {
        ConfigurationDecoder.decode(routes.getBody().toByteArray())
                .peek(this::takeTable)
                .peekLeft(
                        finding ->
                                logger.error(
                                        "routes.unreadable version={} {}",
                                        routes.getVersion(),
                                        finding));
    }

    private void takeTable(RouteTable next) {
        routeTable = Optional.of(next);
        services = next.services().stream().map(ServiceEntry::name).collect(Collectors.toSet());
    }

    private Frame whole() {
        return InstanceCodec.frame(table.all(), true, followers.count());
    }

    private RoutesUpdate.Builder wholeRoutes() {
        return routesVersion().setPackedBody(packedRoutes);
    }

    private RoutesUpdate.Builder routesVersion() {
        return RoutesUpdate.newBuilder().setVersion(routes.getVersion());
    }

    private static Frame frame(RoutesUpdate.Builder update) {
        return Frame.newBuilder().setRoutes(update).build();
    }
}
