package io.stackhall.server.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
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

/** A process of the control role. */
public final class ControlDaemon implements FleetDaemon {

    private static final Logger logger = LogManager.getLogger(ControlDaemon.class);

    /** A configuration of 10,000 routes at 300 bytes each fits several times. */
    private static final int MAX_CALL_BYTES = 16 << 20;

    private static final long SWEEP_MILLIS = 500;
    private static final long ORDER_MILLIS = 50;

    /** As often as entry hosts tell of their work. */
    private static final long WORK_MILLIS = 150;

    /** What newly waits is heard by the giver of orders, who decides every 100 ms, in time. */
    private static final long PASS_ON_MILLIS = 100;

    private final FleetSettings settings;
    private final FleetSettings.Control control;
    private final MultiThreadIoEventLoopGroup threads =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = threads.next();
    private final PeerTransport transport;
    private final ControlHosts hosts;
    private final FleetKeeper fleet;
    private final WorkRelay works;
    private final ControlGroup group;
    private final ControlLog log;

    /** Of states that follow each other faster than they are passed on, the newest is enough. */
    private final AtomicBoolean taking = new AtomicBoolean();

    private final OrderGiver orders;
    private final CrashKeeper crashes;
    private final Confirmations confirmations;
    private final AllowanceDesk allowances;
    private final EvacuationDesk evacuations;
    private final LimitDesk limits;
    private Channel listener;
    private Optional<Channel> metricsListener = Optional.empty();
    private final FleetMetrics metrics = new FleetMetrics();

    /**
     * Creates a process that does not run yet.
     *
     * @param aliveSince when the process had certainly started, on the monotonic clock in
     *     nanoseconds; elections need not wait for leases that end before they could
     * @throws IOException if its data folder cannot be used or holds damaged state
     */
    public ControlDaemon(FleetSettings settings, FleetSettings.Control control, long aliveSince)
            throws IOException {
        this.settings = settings;
        this.control = control;
        this.transport = new PeerTransport(settings.peers(), threads, FleetDaemon.PEER_TIMING);
        this.hosts = new ControlHosts(settings, transport, host -> {});
        this.fleet = new FleetKeeper(loop, transport, hosts, settings.limits().heartbeat());
        this.works = new WorkRelay(hosts.self(), fleet.followers(), fleet::toControlHosts);
        this.log = new ControlLog();
        this.group =
                new ControlGroup(
                        settings,
                        control,
                        transport,
                        hosts,
                        log,
                        new Listener(),
                        new Random(),
                        aliveSince);
        this.crashes = new CrashKeeper(loop, fleet::tellOthers, group);
        this.confirmations = new Confirmations(loop, group, this::heldVersion, this::confirmed);
        this.allowances = new AllowanceDesk(group);
        this.limits = new LimitDesk(group, fleet, hosts.self());
        this.orders =
                new OrderGiver(
                        settings,
                        group,
                        fleet,
                        limits,
                        new UpstreamClient(loop, Headers.REQUEST_ID));
        this.evacuations = new EvacuationDesk(group, fleet::passOn, orders::evacuated);
    }

    @Override
    public void start() {
        transport.open(this::received);
        hosts.start();
        group.start();
        listener = listen();
        metricsListener =
                settings.metrics()
                        .map(at -> SimpleHttpServer.listen(threads, at, this::metricsAnswer));
        RepeatedTask.every(loop, SWEEP_MILLIS, this::sweep);
        RepeatedTask.every(loop, WORK_MILLIS, works::tellEntryHosts);
        RepeatedTask.every(loop, PASS_ON_MILLIS, works::passOn);
        RepeatedTask.every(loop, ORDER_MILLIS, orders::tick);
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
        group.transfer();
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

    private void received(Frame frame, Replier replier) {
        if (group.received(frame, replier)) {
            return;
        }
        loop.execute(() -> receivedOnLoop(frame, replier));
    }

    private void receivedOnLoop(Frame frame, Replier replier) {
        switch (frame.getBodyCase()) {
            case INTRODUCTION -> introduced(frame.getIntroduction(), replier);
            case INSTANCES -> fleet.heard(frame.getInstances());
            case FLEET_FOLLOW -> {
                evacuations.followed(frame.getFleetFollow(), replier);
                limits.followed(new HostId(frame.getFleetFollow().getHost()));
                fleet.followed(frame.getFleetFollow(), replier, this::first);
                if (frame.getFleetFollow().getWantsConfirmation()) {
                    confirmations.ask(frame.getFleetFollow(), replier);
                }
            }
            case WORK -> worked(frame.getWork());
            case DEMAND -> {
                works.demanded(frame.getDemand());
                orders.demanded(frame.getDemand());
            }
            case INSTANCE_UNREACHABLE -> orders.unreachable(frame.getInstanceUnreachable());
            case INSTANCE_LEAVING ->
                    fleet.leaving(
                            UpstreamId.parse(frame.getInstanceLeaving().getInstance()),
                            new HostId(frame.getInstanceLeaving().getHost()));
            case ADAPTER_WANTED -> orders.wanted(frame.getAdapterWanted());
            case RESIDENCY -> fleet.passOn(frame);
            case CRASH_NOTICE -> crashes.heard(frame.getCrashNotice());
            case LIMIT_WORDS -> limits.told(frame.getLimitWords());
            case LIMIT_HEARD -> limits.heard(frame.getLimitHeard());
            case PERMIT_ASK -> limits.asked(frame.getPermitAsk(), replier);
            case ALLOWANCE_ASK -> allowances.asked(frame.getAllowanceAsk(), replier);
            default -> logger.debug("peer.frame-ignored kind={}", frame.getBodyCase());
        }
    }

    /**
     * Tells another control host everything on each connection that has come up, whoever opened it:
     * what was heard before this host's own connection was up, the other has not been told.
     */
    private void introduced(Introduction introduction, Replier replier) {
        hosts.receiveIntroduction(introduction);
        if (!introduction.getAnswer()) {
            replier.send(hosts.introduction(true));
        }
        if (introduction.getControl()) {
            replier.send(crashes.whole());
            fleet.tellAll(replier);
            replier.send(limits.whole());
        }
    }

    /** What an entry host that newly relies on this one is told before it can serve. */
    private List<Frame> first() {
        return List.of(crashes.whole(), limits.whole());
    }

    private void takeCommitted() {
        taking.set(false);
        ControlSnapshot state = log.state();
        evacuations.committed(EvacuationCodec.decode(state.getEvacuated()));
        takeRoutes(state);
        crashes.committed(state);
    }

    private void worked(WorkReport report) {
        works.worked(report);
        orders.worked(WorkCodec.decode(report));
    }

    /**
     * A host hears first which zones are evacuated and, if it holds no routes yet, whom it refuses.
     */
    private void confirmed(Confirmations.Ask ask, ControlSnapshot state) {
        EvacuatedZones zones = EvacuationCodec.decode(state.getEvacuated());
        evacuations.confirmed(zones, ask.follow(), ask.replier());
        takeRoutes(state);
        if (ask.follow().getRoutesVersion() < 0) {
            ask.replier().send(CrashKeeper.sentences(state));
        }
        fleet.confirm(ask);
    }

    private long heldVersion() {
        return fleet.routes().getVersion();
    }

    private void takeRoutes(ControlSnapshot state) {
        if (fleet.takeRoutes(state)) {
            fleet.routeTable().ifPresent(table -> allowances.customers(table.customers()));
        }
    }

    private SimpleHttpServer.Response metricsAnswer(String path) {
        metrics.state("term", (double) group.view().term());
        metrics.state("leads", group.leads() ? 1 : 0);
        metrics.state("commit_index", (double) group.view().commitIndex());
        metrics.state("routes_version", (double) fleet.routes().getVersion());
        metrics.state("instances", fleet.instances().size());
        metrics.state("limited_upstreams", limits.limited().size());
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
            crashes.agree();
        }
        if (group.leader().isEmpty()) {
            fleet.outOfTouch();
        }
    }

    private Channel listen() {
        OperatorCalls operators = new OperatorCalls(loop, new SentenceCalls(loop, crashes), limits);
        return new ServerBootstrap()
                .group(threads)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.config().setTcpNoDelay(true);
                                channel.pipeline()
                                        .addLast(
                                                new IdleStateHandler(0, 0, 60),
                                                new HttpServerCodec(),
                                                new HttpObjectAggregator(MAX_CALL_BYTES),
                                                new ControlApi(
                                                        group, fleet, operators, evacuations));
                            }
                        })
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

    /** Hears of this replica's part in the group. */
    private final class Listener implements GroupListener {
        @Override
        public void changed() {
            if (taking.compareAndSet(false, true)) {
                loop.execute(ControlDaemon.this::takeCommitted);
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
                            fleet.refresh();
                        }
                        allowances.led(leading);
                        limits.led(leading);
                        orders.led(leading, log.state());
                    });
        }
    }
}
