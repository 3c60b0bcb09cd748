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
import io.stackhall.rpc.generated.fleet.WorkReport;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.ControlHosts;
import io.stackhall.server.fleet.EvacuationCodec;
import io.stackhall.server.fleet.InstanceCodec;
import io.stackhall.server.fleet.WorkBoard;
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
 * Keeps an entry host's routes and instances as the control hosts tell them. It follows several, so
 * that one that is cut off or slow holds nothing up. Used on one event loop.
 */
final class ControlFollower {

    private static final Logger logger = LogManager.getLogger(ControlFollower.class);

    /** A quorum answers within some milliseconds; one question in a second may be lost. */
    private static final Duration CONFIRMATION_OVERDUE = Duration.ofMillis(1500);

    /** An entry host never judges silence itself: control hosts tell. */
    private static final Duration NEVER = Duration.ofDays(365);

    private final FleetSettings settings;
    private final EventLoop loop;
    private final PeerTransport transport;
    private final ControlHosts hosts;
    private final Gateway gateway;
    private final RandomGenerator random;
    private final InstanceTable table = new InstanceTable(NEVER);
    private final Map<HostId, Long> connections = new HashMap<>();
    private boolean knowsInstances;
    private final WorkBoard works = new WorkBoard();
    private final PrimarySelector primaries;
    private Optional<HostId> primary = Optional.empty();
    private final RoutesFollower routes;
    private EvacuatedZones evacuated = EvacuatedZones.none();

    ControlFollower(
            FleetSettings settings,
            EventLoop loop,
            PeerTransport transport,
            ControlHosts hosts,
            Gateway gateway,
            RandomGenerator random) {
        this.settings = settings;
        this.loop = loop;
        this.transport = transport;
        this.hosts = hosts;
        this.gateway = gateway;
        this.random = random;
        this.primaries = new PrimarySelector(settings.peerName(), settings.zone());
        this.routes = new RoutesFollower(loop, gateway, this::askForRoutes);
        gateway.upstreamAnnouncements()
                .onLeaving(id -> table.drain(id).forEach(gateway::instanceChanged));
    }

    /** Puts routes into force that nobody has confirmed for long enough. */
    void obeyRoutes() {
        routes.obey();
    }

    /** Returns whether this host knows enough to take callers' requests. */
    boolean ready() {
        return gateway.hasRoutes() && knowsInstances;
    }

    /** A connection to a control host has come up. */
    void connected(HostId host) {
        loop.execute(
                () -> {
                    connections.put(host, random.nextLong(1, Long.MAX_VALUE));
                    gateway.quarantine()
                            .fullNotice()
                            .ifPresent(frame -> transport.send(host, frame));
                    gateway.upstreamAnnouncements()
                            .whole()
                            .forEach(frame -> transport.send(host, frame));
                    follow(host);
                });
    }

    /** Asks every control host again, so that what was lost is told again. */
    void followAll() {
        choosePrimary();
        connected().forEach(this::follow);
    }

    /**
     * Has a quorum confirm the routes in force, by way of the primary; once that has failed, by way
     * of every control host.
     */
    void renewTrust() {
        boolean overdue = gateway.customers().trustAge().compareTo(CONFIRMATION_OVERDUE) > 0;
        connected().stream()
                .filter(host -> overdue || primary.filter(host::equals).isPresent())
                .forEach(host -> follow(host, true));
    }

    private List<HostId> connected() {
        return hosts.all().stream().filter(transport::connected).toList();
    }

    /** Sends a report to the primary, which passes it on. */
    void tellPrimary(Frame frame) {
        boolean sent = primary.filter(host -> transport.send(host, frame)).isPresent();
        if (!sent) {
            choosePrimary();
            primary.ifPresent(host -> transport.send(host, frame));
        }
    }

    /** Returns how many entry hosts the primary serves, if all control hosts serve alike. */
    int sharing() {
        int controlHosts = Math.max(1, hosts.connected().size());
        return Math.ceilDiv(gateway.entryHostCount(), controlHosts);
    }

    /** Takes another primary at once where that of before is no longer the best. */
    private void choosePrimary() {
        Optional<HostId> best = primaries.select(hosts.connected(), BootClock.nanos());
        if (best.equals(primary)) {
            return;
        }
        logger.info(
                "primary.chosen host={} before={}",
                best.map(HostId::value).orElse(""),
                primary.map(HostId::value).orElse(""));
        Optional<HostId> former = primary;
        primary = best;
        former.ifPresent(this::follow);
        best.ifPresent(this::follow);
    }

    /** Sends a frame to every control host. */
    void tellAll(Frame frame) {
        hosts.all().forEach(host -> transport.send(host, frame));
    }

    /** Takes a frame from a control host, on any thread. */
    void received(Frame frame, Replier replier) {
        loop.execute(() -> receivedOnLoop(frame, replier));
    }

    private void receivedOnLoop(Frame frame, Replier replier) {
        switch (frame.getBodyCase()) {
            case INTRODUCTION -> {
                hosts.introduced(frame.getIntroduction());
                choosePrimary();
                if (!frame.getIntroduction().getAnswer()) {
                    replier.send(hosts.introduction(true));
                }
            }
            case INSTANCES -> instances(frame.getInstances());
            case ROUTES -> routes.told(frame.getRoutes());
            case RESIDENCY -> residency(frame.getResidency());
            case WORK -> work(frame.getWork());
            case EVACUATED -> evacuated(EvacuationCodec.decode(frame.getEvacuated()));
            case CRASH_NOTICE -> crashes(frame.getCrashNotice());
            case LIMIT_WORDS -> limitsTold(frame.getLimitWords());
            case PERMIT_REPLY -> permitReplied(frame.getPermitReply());
            case ALLOWANCE_ANSWER ->
                    gateway.customers().allowances().received(frame.getAllowanceAnswer());
            default -> logger.debug("peer.frame-ignored kind={}", frame.getBodyCase());
        }
    }

    private void instances(InstancesUpdate update) {
        if (update.getOutOfTouch()) {
            primary.ifPresent(host -> primaries.recordDecline(host, BootClock.nanos()));
            choosePrimary();
            return;
        }
        update.getInstancesList().forEach(this::instance);
        gateway.setEntryHostCount(update.getEntryHosts());
        knowsInstances |= update.getWhole();
        gateway.dispatchWaiting();
    }

    private void instance(InstanceRecord record) {
        InstanceCodec.decode(record)
                .peek(
                        instance ->
                                table.merge(instance, BootClock.nanos())
                                        .forEach(gateway::instanceChanged))
                .peekLeft(finding -> logger.warn("upstream.record-refused {}", finding));
    }

    private void limitsTold(LimitWords words) {
        if (gateway.upstreamLimits().told(words)) {
            gateway.dispatchWaiting();
        }
    }

    private void permitReplied(PermitReply reply) {
        if (gateway.upstreamLimits().answered(reply)) {
            gateway.dispatchWaiting();
        }
    }

    private void crashes(CrashNotice notice) {
        gateway.quarantine().received(notice);
        gateway.dispatchWaiting();
    }

    private void work(WorkReport report) {
        long now = BootClock.nanos();
        works.shared(gateway.entryHostCount());
        works.reported(report, now);
        gateway.dispatcher().updateRemoteRequests(works.mostRequests(now), now);
        gateway.dispatcher().updateRemoteUnreadTokens(works.mostUnread(now), now);
    }

    private void evacuated(EvacuatedZones told) {
        EvacuatedZones newest = evacuated.newer(told);
        if (newest.equals(evacuated)) {
            return;
        }
        evacuated = newest;
        logger.info("evacuations.in-force revision={} zones={}", newest.revision(), newest.zones());
        gateway.dispatcher().setEvacuatedZones(newest);
        gateway.dispatchWaiting();
    }

    private void residency(ResidencyChange change) {
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

    /** Asks any control host for the whole of the newest configuration. */
    private void askForRoutes() {
        List<HostId> connected = connected();
        if (!connected.isEmpty()) {
            HostId host = connected.get(random.nextInt(connected.size()));
            send(host, newFollow(host, routes.wantsConfirmation()).setWantsRoutes(true));
        }
    }

    private void follow(HostId host) {
        follow(host, routes.wantsConfirmation());
    }

    private void follow(HostId host, boolean wantsConfirmation) {
        send(host, newFollow(host, wantsConfirmation));
    }

    private void send(HostId host, FleetFollow.Builder follow) {
        transport.send(host, Frame.newBuilder().setFleetFollow(follow).build());
    }

    private FleetFollow.Builder newFollow(HostId host, boolean wantsConfirmation) {
        return FleetFollow.newBuilder()
                .setHost(settings.peerName().value())
                .setConnection(connections.getOrDefault(host, 0L))
                .setRoutesVersion(routes.held())
                .setWantsConfirmation(wantsConfirmation)
                .setAskedAt(BootClock.nanos())
                .setEvacuations(evacuated.revision())
                .setPrimary(primary.filter(host::equals).isPresent());
    }
}
