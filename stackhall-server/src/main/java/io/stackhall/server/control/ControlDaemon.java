package io.stackhall.server.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.stackhall.core.fleet.EvacuatedZones;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.platform.Headers;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.rpc.generated.fleet.Introduction;
import io.stackhall.rpc.generated.fleet.WorkReport;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.fleet.ControlHosts;
import io.stackhall.server.fleet.EvacuationCodec;
import io.stackhall.server.fleet.FleetDaemon;
import io.stackhall.server.fleet.RepeatedTask;
import io.stackhall.server.fleet.SimpleHttpServer;
import io.stackhall.server.fleet.WorkCodec;
import io.stackhall.server.group.GroupListener;
import io.stackhall.server.metrics.FleetMetrics;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.Replier;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.settings.FleetSettings;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A process in the control role. */
public final class ControlDaemon implements FleetDaemon {

    private static final Logger logger = LogManager.getLogger(ControlDaemon.class);

    private static final long SWEEP_INTERVAL_MILLIS = 500;
    private static final long ORDER_INTERVAL_MILLIS = 50;

    /** The interval at which entry hosts report their work. */
    private static final long WORK_INTERVAL_MILLIS = 150;

    /**
     * Short enough for the order issuer, which decides every 100 ms, to learn in time of requests
     * that have started to wait.
     */
    private static final long RELAY_INTERVAL_MILLIS = 100;

    private final FleetSettings settings;
    private final FleetSettings.Control control;
    private final MultiThreadIoEventLoopGroup threads =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = threads.next();
    private final PeerTransport transport;
    private final ControlHosts hosts;
    private final FleetRegistry fleet;
    private final WorkRelay workRelay;
    private final ControlGroup group;
    private final ControlStateMachine stateMachine;

    /**
     * Set while an update to the newest committed state is scheduled on the event loop. States that
     * are committed faster than they are applied are coalesced.
     */
    private final AtomicBoolean updateScheduled = new AtomicBoolean();

    private final OrderIssuer orders;
    private final CrashTracker crashes;
    private final RoutesConfirmationService confirmations;
    private final AllowanceService allowances;
    private final EvacuationService evacuations;
    private final EndRecorder ends;
    private final LimitService limits;
    private final SlotService slots;
    private final StreamOriginService streamOrigins;
    private Channel listener;
    private Optional<Channel> metricsListener = Optional.empty();
    private final FleetMetrics metrics = new FleetMetrics();

    /**
     * Creates a process that is not started yet.
     *
     * @param aliveSince a time at which the process had certainly started, on the monotonic clock
     *     in nanoseconds; leases that an earlier process granted began before then, and elections
     *     need not wait longer than these can last
     * @throws IOException if its data folder cannot be used or holds damaged state
     */
    public ControlDaemon(FleetSettings settings, FleetSettings.Control control, long aliveSince)
            throws IOException {
        this(settings, control, aliveSince, NioSocketChannel::new);
    }

    /** Creates one whose sockets to other hosts are made by a factory. */
    public ControlDaemon(
            FleetSettings settings,
            FleetSettings.Control control,
            long aliveSince,
            ChannelFactory<NioSocketChannel> channels)
            throws IOException {
        this.settings = settings;
        this.control = control;
        this.transport =
                new PeerTransport(settings.peers(), threads, FleetDaemon.PEER_TIMING, channels);
        this.hosts = new ControlHosts(settings, transport, this::controlHostConnected);
        this.fleet = new FleetRegistry(settings, loop, transport, hosts);
        this.workRelay = new WorkRelay(hosts.self(), fleet.followers(), fleet::sendToControlHosts);
        this.stateMachine = new ControlStateMachine();
        this.group =
                new ControlGroup(
                        settings,
                        control,
                        transport,
                        hosts,
                        stateMachine,
                        new Listener(),
                        new Random(),
                        aliveSince);
        this.crashes = new CrashTracker(loop, fleet::broadcast, group);
        this.confirmations =
                new RoutesConfirmationService(
                        loop, group, this::heldVersion, this::handleConfirmed);
        this.allowances = new AllowanceService(group, fleet.followers()::count, new Random());
        this.limits = new LimitService(group, fleet, hosts.self());
        this.slots = new SlotService(group, loop, hosts.self());
        this.streamOrigins = new StreamOriginService(group, fleet, hosts.self());
        this.orders =
                new OrderIssuer(
                        settings,
                        group,
                        fleet,
                        limits,
                        new UpstreamClient(loop, Headers.REQUEST_ID));
        this.ends = new EndRecorder(group, stateMachine);
        this.evacuations =
                new EvacuationService(group, fleet::sendToEntryHosts, orders::setEvacuatedZones);
    }

    @Override
    public void start() {
        transport.open(this::receive);
        hosts.start();
        group.start();
        listener = listen();
        metricsListener =
                settings.metrics()
                        .map(at -> SimpleHttpServer.listen(threads, at, this::metricsAnswer));
        RepeatedTask.every(loop, SWEEP_INTERVAL_MILLIS, this::sweep);
        RepeatedTask.every(loop, WORK_INTERVAL_MILLIS, workRelay::relayToEntryHosts);
        RepeatedTask.every(loop, RELAY_INTERVAL_MILLIS, workRelay::relayToControlHosts);
        RepeatedTask.every(loop, ORDER_INTERVAL_MILLIS, orders::tick);
        logger.info(
                "daemon.started host={} zone={} api={}",
                settings.host(),
                settings.zone(),
                control.api());
    }

    @Override
    public void reload(FleetSettings next) {
        hosts.setSeeds(next.seedPeers());
    }

    @Override
    public void drain() {
        logger.info("daemon.draining host={}", settings.host());
        group.transferLeadership();
        listener.close();
        pause(Duration.ofMillis(300));
    }

    @Override
    public void close() throws IOException {
        group.close();
        listener.close();
        metricsListener.ifPresent(Channel::close);
        transport.close();
        threads.terminationFuture().awaitUninterruptibly(FleetDaemon.CLOSE_TIMEOUT_MILLIS);
        logger.info("daemon.stopped host={}", settings.host());
    }

    private void receive(Frame frame, Replier replier) {
        if (group.receive(frame, replier)) {
            return;
        }
        loop.execute(() -> handleOnLoop(frame, replier));
    }

    private void handleOnLoop(Frame frame, Replier replier) {
        switch (frame.getBodyCase()) {
            case INTRODUCTION -> handleIntroduction(frame.getIntroduction(), replier);
            case INSTANCES -> fleet.receive(frame.getInstances());
            case FLEET_FOLLOW -> {
                evacuations.handleFollow(frame.getFleetFollow(), replier);
                limits.handleFollow(new HostId(frame.getFleetFollow().getHost()));
                fleet.handleFollow(frame.getFleetFollow(), replier, this::initialFrames);
                if (frame.getFleetFollow().getWantsConfirmation()) {
                    confirmations.request(frame.getFleetFollow(), replier);
                }
            }
            case WORK -> handleWork(frame.getWork());
            case DEMAND -> {
                workRelay.receiveDemand(frame.getDemand());
                orders.recordDemand(frame.getDemand());
            }
            case INSTANCE_UNREACHABLE -> orders.recordUnreachable(frame.getInstanceUnreachable());
            case INSTANCE_LEAVING ->
                    fleet.drain(
                            UpstreamId.parse(frame.getInstanceLeaving().getInstance()),
                            new HostId(frame.getInstanceLeaving().getHost()));
            case ADAPTER_WANTED -> orders.requestAdapter(frame.getAdapterWanted());
            case RESIDENCY -> fleet.sendToEntryHosts(frame);
            case CRASH_NOTICE -> crashes.receive(frame.getCrashNotice());
            case LIMIT_WORDS -> limits.receive(frame.getLimitWords());
            case LIMIT_HEARD -> limits.handleObservation(frame.getLimitHeard());
            case PERMIT_ASK -> limits.handlePermitRequest(frame.getPermitAsk(), replier);
            case STREAM_ORIGINS -> streamOrigins.receive(frame.getStreamOrigins());
            case STREAM_ORIGIN_ASK -> streamOrigins.handle(frame.getStreamOriginAsk(), replier);
            case SLOT_ASK -> slots.handle(frame.getSlotAsk(), replier);
            case ALLOWANCE_ASK -> allowances.handle(frame.getAllowanceAsk(), replier);
            default -> logger.debug("peer.frame-ignored kind={}", frame.getBodyCase());
        }
    }

    /**
     * Sends the full state to another control host on each new connection, whichever side opened
     * it: the other host has not received the updates from before this host's own connection was
     * established.
     */
    private void handleIntroduction(Introduction introduction, Replier replier) {
        hosts.receiveIntroduction(introduction);
        if (!introduction.getAnswer()) {
            replier.send(hosts.introduction(true));
        }
        if (introduction.getControl()) {
            replier.send(crashes.fullNotice());
            fleet.sendAll(replier);
            replier.send(limits.fullUpdate());
        }
    }

    /**
     * Returns the frames that an entry host with this host as its new primary needs before it can
     * serve.
     */
    private List<Frame> initialFrames() {
        return List.of(crashes.fullNotice(), limits.fullUpdate());
    }

    private void controlHostConnected(HostId host) {
        loop.execute(fleet::restartVersionWatch);
    }

    private void applyCommittedState() {
        updateScheduled.set(false);
        ControlSnapshot state = stateMachine.state();
        evacuations.applyCommitted(EvacuationCodec.decode(state.getEvacuated()));
        fleet.applyEnds(state.getEndedList());
        applyRoutes(state);
        crashes.applyCommitted(state);
    }

    private void handleWork(WorkReport report) {
        workRelay.receiveWork(report);
        orders.recordWork(WorkCodec.decode(report));
    }

    /**
     * Sends an entry host the evacuated zones and, if it holds no routes yet, the refused requests,
     * before the confirmed routes.
     */
    private void handleConfirmed(
            RoutesConfirmationService.ConfirmationRequest request, ControlSnapshot state) {
        EvacuatedZones zones = EvacuationCodec.decode(state.getEvacuated());
        evacuations.applyConfirmed(zones, request.follow(), request.replier());
        applyRoutes(state);
        if (request.follow().getRoutesVersion() < 0) {
            request.replier().send(CrashTracker.sentencesFrame(state));
        }
        fleet.routes().sendConfirmation(request);
    }

    private long heldVersion() {
        return fleet.routes().version();
    }

    private void applyRoutes(ControlSnapshot state) {
        if (fleet.routes().apply(state)) {
            fleet.routes().table().ifPresent(table -> allowances.setCustomers(table.customers()));
        }
    }

    private SimpleHttpServer.Response metricsAnswer(String path) {
        metrics.state("term", (double) group.view().term());
        metrics.state("leads", group.leads() ? 1 : 0);
        metrics.state("commit_index", (double) group.view().commitIndex());
        metrics.state("routes_version", (double) fleet.routes().version());
        metrics.state("instances", fleet.instances().size());
        metrics.state("limited_upstreams", limits.limitedUpstreams().size());
        metrics.state("stream_origins", streamOrigins.size());
        metrics.state("followers", fleet.followers().count());
        metrics.state("refused_records", (double) fleet.refusedRecords());
        return new SimpleHttpServer.Response(HttpResponseStatus.OK.code(), metrics.scrape());
    }

    private void sweep() {
        hosts.checkConnections();
        fleet.sweep();
        crashes.sweep();
        limits.sweep();
        if (group.leads()) {
            fleet.expire();
            crashes.proposeSentences();
        }
        if (group.leader().isEmpty()) {
            fleet.notifyOutOfTouch();
        }
    }

    private Channel listen() {
        OperatorApi operators =
                new OperatorApi(loop, new RefusedRequestsApi(loop, crashes), limits);
        return new ServerBootstrap()
                .group(threads)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ControlChannelInitializer(
                                () -> new ControlApi(group, fleet, operators, evacuations, ends)))
                .bind(control.api().socket())
                .syncUninterruptibly()
                .channel();
    }

    private static void pause(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Receives state changes and leadership changes of this host's replica. */
    private final class Listener implements GroupListener {
        @Override
        public void changed() {
            if (updateScheduled.compareAndSet(false, true)) {
                loop.execute(ControlDaemon.this::applyCommittedState);
            }
        }

        @Override
        public void led(boolean leading) {
            logger.info(
                    "control.leads leading={} leader={}",
                    leading,
                    group.leader().map(HostId::value));
            loop.execute(
                    () -> {
                        if (leading) {
                            fleet.restartSilenceTimers();
                        }
                        allowances.setLeading(leading);
                        limits.setLeading(leading);
                        slots.setLeading(leading);
                        orders.setLeading(leading, stateMachine.state());
                    });
        }
    }
}
