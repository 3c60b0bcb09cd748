package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.fleet.InstanceTable;
import io.stackhall.core.fleet.PrimarySelector;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.ModelId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.CrashNotice;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.fleet.InstanceRecord;
import io.stackhall.rpc.generated.fleet.InstancesUpdate;
import io.stackhall.rpc.generated.fleet.LimitWords;
import io.stackhall.rpc.generated.fleet.PermitReply;
import io.stackhall.rpc.generated.fleet.ResidencyChange;
import io.stackhall.rpc.generated.fleet.TunnelHosts;
import io.stackhall.rpc.generated.fleet.WorkReport;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.ControlHosts;
import io.stackhall.server.fleet.EvacuationCodec;
import io.stackhall.server.fleet.HostWorkReports;
import io.stackhall.server.fleet.InstanceCodec;
import io.stackhall.server.fleet.TunnelCodec;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.Replier;
import io.stackhall.server.settings.FleetSettings;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps an entry host's routes and instances up to date from the updates of the control hosts. It
 * subscribes to several of them, so that a slow or partitioned one delays nothing. The primary is
 * the control host that this host sends its reports to. Not thread-safe: confined to one event
 * loop, except where noted.
 */
final class ControlSubscriber {

    private static final Logger logger = LogManager.getLogger(ControlSubscriber.class);

    /** A quorum confirms within some milliseconds; one request per second may be lost. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(1500);

    /** Effectively disabled: control hosts detect silent instances and notify the entry hosts. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofDays(365);

    private final FleetSettings settings;
    private final EventLoop loop;
    private final PeerTransport transport;
    private final ControlHosts controlHosts;
    private final Gateway gateway;
    private final RandomGenerator random;
    private final InstanceTable instanceTable = new InstanceTable(SILENCE_TIMEOUT);
    private final Map<HostId, Long> connectionNumbers = new HashMap<>();
    private boolean knowsInstances;
    private final HostWorkReports workBoard = new HostWorkReports();
    private final PrimarySelector primarySelector;
    private Optional<HostId> primary = Optional.empty();
    private final RoutesUpdater routesUpdater;
    private EvacuatedZones evacuatedZones = EvacuatedZones.none();

    ControlSubscriber(
            FleetSettings settings,
            EventLoop loop,
            PeerTransport transport,
            ControlHosts controlHosts,
            Gateway gateway,
            RandomGenerator random) {
        this.settings = settings;
        this.loop = loop;
        this.transport = transport;
        this.controlHosts = controlHosts;
        this.gateway = gateway;
        this.random = random;
        this.primarySelector = new PrimarySelector(settings.peerName(), settings.zone());
        this.routesUpdater = new RoutesUpdater(loop, gateway, this::requestRoutes);
        gateway.denials()
                .setConfirmationRequests(
                        this::requestConfirmationOfPrimary, this::requestConfirmationOfAll);
        gateway.upstreamAnnouncements()
                .setLeavingListener(
                        id -> instanceTable.drain(id).forEach(gateway::instanceChanged));
    }

    /** Activates routes that have waited long enough for a confirmation. */
    void activateRoutes() {
        routesUpdater.activateIfAllowed();
    }

    /**
     * Returns whether routes and instances are known, so that callers' requests can be accepted.
     */
    boolean isReady() {
        return gateway.hasRoutes() && knowsInstances;
    }

    /**
     * Subscribes to a control host to which a connection has been established, and sends it the
     * crash and leaving notices and the origins of streams that it may have missed. May be called
     * on any thread.
     */
    void onConnected(HostId host) {
        loop.execute(
                () -> {
                    connectionNumbers.put(host, random.nextLong(1, Long.MAX_VALUE));
                    gateway.quarantine()
                            .fullNotice()
                            .ifPresent(frame -> transport.send(host, frame));
                    gateway.upstreamAnnouncements()
                            .leavingFrames()
                            .forEach(frame -> transport.send(host, frame));
                    gateway.streamOrigins().connected(host);
                    subscribe(host);
                });
    }

    /** Renews the subscription to every control host, so that lost updates are sent again. */
    void subscribeToAll() {
        selectPrimary();
        connectedHosts().forEach(this::subscribe);
        gateway.streamOrigins().checkControlHosts(controlHosts.knownHosts());
    }

    /**
     * Requests a confirmation of the active routes by a quorum, through the primary; once that has
     * timed out, through every control host.
     */
    void requestConfirmation() {
        boolean timedOut =
                gateway.customers().confirmationAge().compareTo(CONFIRMATION_TIMEOUT) > 0;
        if (timedOut) {
            requestConfirmationOfAll();
        } else {
            requestConfirmationOfPrimary();
        }
    }

    /**
     * Notifies the control hosts that this host reaches no upstream, or that it does again, and
     * reconsiders the requests that wait.
     */
    void pathsChanged() {
        connectedHosts().forEach(this::subscribe);
        loop.execute(gateway::dispatchWaiting);
    }

    /** Requests a confirmation of the active routes by a quorum through the primary. */
    void requestConfirmationOfPrimary() {
        primary.ifPresent(host -> subscribe(host, true));
    }

    /** Requests a confirmation of the active routes by a quorum through every control host. */
    void requestConfirmationOfAll() {
        connectedHosts().forEach(host -> subscribe(host, true));
    }

    private List<HostId> connectedHosts() {
        return controlHosts.knownHosts().stream().filter(transport::connected).toList();
    }

    /** Sends a report to the primary, which forwards it to the other hosts. */
    void sendToPrimary(Frame frame) {
        boolean sent = primary.filter(host -> transport.send(host, frame)).isPresent();
        if (!sent) {
            selectPrimary();
            primary.ifPresent(host -> transport.send(host, frame));
        }
    }

    /**
     * Returns the number of entry hosts per connected control host, assuming an even distribution.
     */
    int entryHostsPerControlHost() {
        int connected = Math.max(1, controlHosts.connected().size());
        return Math.ceilDiv(gateway.entryHostCount(), connected);
    }

    /** Switches to another primary as soon as the current one is no longer the best choice. */
    private void selectPrimary() {
        Optional<HostId> best = primarySelector.select(controlHosts.connected(), BootClock.nanos());
        if (best.equals(primary)) {
            return;
        }
        logger.info(
                "primary.chosen host={} before={}",
                best.map(HostId::value).orElse(""),
                primary.map(HostId::value).orElse(""));
        Optional<HostId> former = primary;
        primary = best;
        former.ifPresent(this::subscribe);
        best.ifPresent(this::subscribe);
    }

    /** Sends a frame to every control host. */
    void sendToAll(Frame frame) {
        controlHosts.knownHosts().forEach(host -> transport.send(host, frame));
    }

    /** Receives a frame from a control host. May be called on any thread. */
    void receive(Frame frame, Replier replier) {
        loop.execute(() -> receiveOnLoop(frame, replier));
    }

    private void receiveOnLoop(Frame frame, Replier replier) {
        switch (frame.getBodyCase()) {
            case INTRODUCTION -> {
                controlHosts.receiveIntroduction(frame.getIntroduction());
                selectPrimary();
                if (!frame.getIntroduction().getAnswer()) {
                    replier.send(controlHosts.introduction(true));
                }
            }
            case INSTANCES -> updateInstances(frame.getInstances());
            case ROUTES -> routesUpdater.receive(frame.getRoutes());
            case RESIDENCY -> updateResidency(frame.getResidency());
            case WORK -> updateWork(frame.getWork());
            case EVACUATED -> updateEvacuatedZones(EvacuationCodec.decode(frame.getEvacuated()));
            case TUNNEL_HOSTS -> updateTunnelHosts(frame.getTunnelHosts());
            case CRASH_NOTICE -> receiveCrashNotice(frame.getCrashNotice());
            case LIMIT_WORDS -> updateLimits(frame.getLimitWords());
            case SLOT_REPLY -> {
                if (gateway.upstreamSlots().receive(frame.getSlotReply())) {
                    gateway.dispatchWaiting();
                }
            }
            case STREAM_ORIGIN_ANSWER ->
                    gateway.streamOrigins().receive(frame.getStreamOriginAnswer());
            case PERMIT_REPLY -> receivePermitReply(frame.getPermitReply());
            case ALLOWANCE_ANSWER ->
                    gateway.customers().allowanceClient().receive(frame.getAllowanceAnswer());
            default -> logger.debug("peer.frame-ignored kind={}", frame.getBodyCase());
        }
    }

    private void updateInstances(InstancesUpdate update) {
        if (update.getOutOfTouch()) {
            primary.ifPresent(host -> primarySelector.recordDecline(host, BootClock.nanos()));
            selectPrimary();
            return;
        }
        if (update.getUnwatched()) {
            gateway.streamOrigins().versionsUnwatched();
        }
        update.getInstancesList().forEach(this::updateInstance);
        InstanceCodec.gone(update)
                .forEach(id -> instanceTable.recordGone(id).forEach(gateway::instanceChanged));
        gateway.setEntryHostCount(update.getEntryHosts());
        if (update.getWhole()) {
            knowsInstances = true;
            gateway.streamOrigins().startWatching();
        }
        gateway.dispatchWaiting();
    }

    private void updateInstance(InstanceRecord record) {
        InstanceCodec.decode(record)
                .peek(
                        instance ->
                                instanceTable
                                        .merge(instance, BootClock.nanos())
                                        .forEach(gateway::instanceChanged))
                .peekLeft(finding -> logger.warn("upstream.record-refused {}", finding));
    }

    private void updateTunnelHosts(TunnelHosts update) {
        gateway.paths().setTunnelHosts(TunnelCodec.decode(update));
        gateway.dispatchWaiting();
    }

    private void updateLimits(LimitWords updates) {
        if (gateway.upstreamLimits().receiveUpdates(updates)) {
            gateway.dispatchWaiting();
        }
    }

    private void receivePermitReply(PermitReply reply) {
        if (gateway.upstreamLimits().receivePermitReply(reply)) {
            gateway.dispatchWaiting();
        }
    }

    private void receiveCrashNotice(CrashNotice notice) {
        gateway.quarantine().received(notice);
        gateway.dispatchWaiting();
    }

    private void updateWork(WorkReport report) {
        long now = BootClock.nanos();
        workBoard.setHostCount(gateway.entryHostCount());
        workBoard.receive(report, now);
        gateway.dispatcher().updateRemoteRequests(workBoard.maxRequests(now), now);
        gateway.dispatcher().updateRemoteUnreadTokens(workBoard.maxUnreadTokens(now), now);
    }

    /** Returns how many requests the other hosts have at all instances, as last reported. */
    int requestsOfOthers(long now) {
        return workBoard.maxRequests(now).values().stream().mapToInt(Integer::intValue).sum();
    }

    private void updateEvacuatedZones(EvacuatedZones update) {
        EvacuatedZones newest = evacuatedZones.newer(update);
        if (newest.equals(evacuatedZones)) {
            return;
        }
        evacuatedZones = newest;
        logger.info("evacuations.in-force revision={} zones={}", newest.revision(), newest.zones());
        gateway.dispatcher().setEvacuatedZones(newest);
        gateway.dispatchWaiting();
    }

    private void updateResidency(ResidencyChange change) {
        if (change.getComingMillis() > 0) {
            gateway.dispatcher()
                    .loadStarted(
                            UpstreamId.parse(change.getInstance()),
                            new ModelId(change.getModel()),
                            Duration.ofMillis(change.getComingMillis()),
                            BootClock.nanos());
            gateway.dispatchWaiting();
            return;
        }
        gateway.dispatcher()
                .updateResidency(
                        UpstreamId.parse(change.getInstance()),
                        new ModelId(change.getModel()),
                        Optional.of(change.getAdapter()).filter(name -> !name.isEmpty()),
                        change.getResident(),
                        BootClock.nanos());
        gateway.dispatchWaiting();
    }

    /** Requests the complete newest configuration from a random connected control host. */
    private void requestRoutes() {
        List<HostId> connected = connectedHosts();
        if (!connected.isEmpty()) {
            HostId host = connected.get(random.nextInt(connected.size()));
            send(
                    host,
                    newSubscription(host, routesUpdater.wantsConfirmation()).setWantsRoutes(true));
        }
    }

    private void subscribe(HostId host) {
        subscribe(host, routesUpdater.wantsConfirmation());
    }

    private void subscribe(HostId host, boolean wantsConfirmation) {
        send(host, newSubscription(host, wantsConfirmation));
    }

    private void send(HostId host, FleetFollow.Builder follow) {
        transport.send(host, Frame.newBuilder().setFleetFollow(follow).build());
    }

    private FleetFollow.Builder newSubscription(HostId host, boolean wantsConfirmation) {
        return FleetFollow.newBuilder()
                .setHost(settings.peerName().value())
                .setConnection(connectionNumbers.getOrDefault(host, 0L))
                .setRoutesVersion(routesUpdater.heldVersion())
                .setWantsConfirmation(wantsConfirmation)
                .setAskedAt(BootClock.nanos())
                .setEvacuations(evacuatedZones.revision())
                .setZone(settings.zone().value())
                .setRefusesTunnels(gateway.paths().isCutOff() || gateway.connections().isDraining())
                .setImpaired(gateway.paths().isImpaired())
                .setPrimary(primary.filter(host::equals).isPresent());
    }
}
