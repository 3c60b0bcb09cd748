package io.stackhall.server.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.stackhall.core.backpressure.Backpressure;
import io.stackhall.core.backpressure.RestingUpstreams;
import io.stackhall.core.customer.KeyLease;
import io.stackhall.core.customer.OutageAllowance;
import io.stackhall.core.dispatch.Dispatcher;
import io.stackhall.core.dispatch.RetryLimiter;
import io.stackhall.core.id.HostId;
import io.stackhall.core.limit.LimitedUpstreams;
import io.stackhall.core.overload.ConnectionShedder;
import io.stackhall.core.overload.LoadShedder;
import io.stackhall.core.overload.LoopDelayMeter;
import io.stackhall.core.overload.WorkShare;
import io.stackhall.core.path.TunnelHosts;
import io.stackhall.core.quarantine.HostPauseDetector;
import io.stackhall.core.route.DenialPolicy;
import io.stackhall.core.slot.BrittleUpstreams;
import io.stackhall.platform.Calls;
import io.stackhall.platform.Headers;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.ControlHosts;
import io.stackhall.server.fleet.FleetDaemon;
import io.stackhall.server.fleet.RepeatedTask;
import io.stackhall.server.fleet.RoutesCodec;
import io.stackhall.server.fleet.SimpleHttpServer;
import io.stackhall.server.metrics.FleetMetrics;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.Replier;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.settings.Address;
import io.stackhall.server.settings.FleetSettings;
import io.stackhall.server.tunnel.TunnelAcceptor;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A process of the entry role, which relays the requests of callers to upstreams. */
public final class EntryDaemon implements FleetDaemon {

    private static final Logger logger = LogManager.getLogger(EntryDaemon.class);

    private static final long SYNC_INTERVAL_MILLIS = 1000;
    private static final long DEMAND_INTERVAL_MILLIS = 500;

    /** Interval at which it is checked whether a report of this host's requests is due. */
    private static final long WORK_CHECK_INTERVAL_MILLIS = 150;

    /** Interval at which it is checked whether a probe of a path to an upstream is due. */
    private static final long PATH_PROBE_INTERVAL_MILLIS = 50;

    /**
     * Time after which the load balancer sends no more connections here: it removes a host that has
     * failed two readiness checks, which are 1 s apart.
     */
    private static final Duration BALANCER_REACTION_TIME = Duration.ofMillis(2500);

    /** Part of the stop grace period that is left over when the process stops at the latest. */
    private static final Duration GRACE_MARGIN = Duration.ofMillis(700);

    /**
     * Time before the end of the drain at which requests that have not been sent are refused, so
     * that their callers can still read the refusal.
     */
    private static final Duration REFUSAL_LEAD_TIME = Duration.ofMillis(1500);

    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(50);

    /**
     * Confirmations per key revocation time: several in a row may be lost before this host no
     * longer accepts keys.
     */
    private static final int CONFIRMATIONS_PER_REVOCATION_TIME = 6;

    /**
     * Number of entry hosts that are assumed to share the slack for retries until the control hosts
     * have reported it.
     */
    private static final int ASSUMED_ENTRY_HOSTS = 10;

    private static final int ACCEPT_BACKLOG = 512;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final FleetSettings settings;
    private final FleetSettings.Entry entry;
    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = eventLoops.next();
    private final PeerTransport transport;
    private final ControlHosts controlHosts;
    private final Gateway gateway;
    private final LoopDelayTask loopDelayTask;
    private final ControlSubscriber follower;
    private final EntryReporter reports;
    private final UpstreamClient upstreams;
    private final TunnelAcceptor tunnels;
    private volatile Runnable configurationListener = () -> {};
    private volatile Runnable callerListener = () -> {};
    private Channel callerChannel;
    private Channel readinessChannel;
    private Optional<Channel> metricsChannel = Optional.empty();

    /** Creates a process that is not started yet. */
    public EntryDaemon(FleetSettings settings, FleetSettings.Entry entry) {
        this(settings, entry, NioSocketChannel::new);
    }

    /**
     * Creates a process that is not started yet.
     *
     * @param channels creates the sockets that connect to upstreams and to control hosts
     */
    public EntryDaemon(
            FleetSettings settings,
            FleetSettings.Entry entry,
            ChannelFactory<NioSocketChannel> channels) {
        this.settings = settings;
        this.entry = entry;
        Random random = new Random();
        FleetSettings.Limits limits = settings.limits();
        this.transport =
                new PeerTransport(settings.peers(), eventLoops, FleetDaemon.PEER_TIMING, channels);
        this.controlHosts = new ControlHosts(settings, transport, this::controlHostConnected);
        this.upstreams = new UpstreamClient(loop, Headers.REQUEST_ID, channels);
        HostId self = settings.peerName();
        LinkedControlHosts leaders = new LinkedControlHosts(transport, controlHosts);
        LimitedUpstreams limited = new LimitedUpstreams(self, random);
        limited.setHostCount(ASSUMED_ENTRY_HOSTS);
        FleetMetrics fleetMetrics = new FleetMetrics();
        UpstreamLimitClient upstreamLimits =
                new UpstreamLimitClient(self, loop, limited, leaders, fleetMetrics);
        UpstreamPathMonitor paths =
                new UpstreamPathMonitor(
                        new TunnelHosts(settings.zone(), random), fleetMetrics, random);
        BrittleUpstreams slots = new BrittleUpstreams(self);
        Backpressure backpressure = new Backpressure(limited, new RestingUpstreams(random), slots);
        backpressure.setDetoured(paths::isDetoured);
        LoopDelayMeter loopDelay = new LoopDelayMeter();
        LoadShedding shedding =
                new LoadShedding(
                        loopDelay,
                        new LoadShedder(random),
                        new ConnectionShedder(),
                        this::workShare,
                        fleetMetrics);
        this.loopDelayTask = new LoopDelayTask(loop, loopDelay, fleetMetrics, shedding::update);
        this.gateway =
                new Gateway(
                        loop,
                        loopDelay,
                        new Dispatcher(settings.zone(), backpressure, loopDelay, random),
                        upstreams,
                        paths,
                        retryLimiter(limits),
                        new ControlNotifier(self, this::sendToControlHosts),
                        customerGate(random),
                        new DenialPolicy(limits.routesStaleness()),
                        this::sendToControlHosts,
                        upstreamLimits,
                        new UpstreamSlotClient(self, loop, slots, leaders, fleetMetrics),
                        new StreamOriginClient(settings.zone(), loop, leaders, fleetMetrics),
                        fleetMetrics,
                        random);
        if (limits.hasSmallProcessorShare()) {
            gateway.setLoadShedding(shedding);
            upstreams.paceStreams();
        }
        this.follower =
                new ControlSubscriber(settings, loop, transport, controlHosts, gateway, random);
        this.reports = new EntryReporter(settings, gateway, follower);
        this.tunnels = new TunnelAcceptor(loop, new TunnelsOfOthers(gateway, upstreams, shedding));
        paths.onChange(follower::pathsChanged);
        gateway.demand().onNewlyWaiting(reports::reportDemand);
    }

    /**
     * Sets the listener to call, on a network thread, whenever a configuration has arrived; to be
     * called before the start.
     */
    public void onConfiguration(Runnable listener) {
        configurationListener = listener;
    }

    /**
     * Sets the listener to call, on a network thread, whenever a caller has connected; to be called
     * before the start.
     */
    public void onCaller(Runnable listener) {
        callerListener = listener;
    }

    @Override
    public void start() {
        transport.onTunnel(tunnels::accept);
        transport.open(this::receive);
        controlHosts.start();
        callerChannel =
                listen(entry.callers(), new CallerChannelInitializer(gateway, callerListener));
        readinessChannel =
                SimpleHttpServer.listen(eventLoops, entry.readiness(), this::readinessAnswer);
        metricsChannel =
                settings.metrics()
                        .map(at -> SimpleHttpServer.listen(eventLoops, at, this::metricsAnswer));
        if (settings.limits().hasSmallProcessorShare()) {
            loopDelayTask.start();
        }
        RepeatedTask.every(loop, SYNC_INTERVAL_MILLIS, this::synchronize);
        RepeatedTask.every(
                loop,
                AllowanceClient.CHECK_INTERVAL.toMillis(),
                gateway.customers().allowanceClient()::keepReachable);
        RepeatedTask.every(loop, DEMAND_INTERVAL_MILLIS, reports::reportDemand);
        RepeatedTask.every(loop, PATH_PROBE_INTERVAL_MILLIS, gateway.pathProber()::probeDue);
        RepeatedTask.every(loop, WORK_CHECK_INTERVAL_MILLIS, reports::reportWork);
        settings.limits()
                .keyRevocation()
                .ifPresent(
                        time ->
                                RepeatedTask.every(
                                        loop,
                                        time.toMillis() / CONFIRMATIONS_PER_REVOCATION_TIME,
                                        follower::requestConfirmation));
        RepeatedTask.every(
                loop, HostPauseDetector.TICK_INTERVAL.toMillis(), gateway.quarantine()::tick);
        logger.info(
                "daemon.started host={} zone={} callers={}",
                settings.host(),
                settings.zone(),
                entry.callers());
    }

    @Override
    public void reload(FleetSettings next) {
        controlHosts.setSeeds(next.seedPeers());
    }

    @Override
    public void drain() {
        long started = BootClock.nanos();
        logger.info("daemon.draining host={}", settings.host());
        loop.execute(gateway.connections()::drain);
        loop.execute(follower::pathsChanged);
        long stopAccepting = started + BALANCER_REACTION_TIME.toNanos();
        long end = started + settings.limits().stopGrace().minus(GRACE_MARGIN).toNanos();
        pauseUntil(stopAccepting);
        callerChannel.close();
        loop.execute(gateway.connections()::closeIdle);
        long refuseAt = end - REFUSAL_LEAD_TIME.toNanos();
        awaitNoCallers(refuseAt);
        loop.execute(gateway::refuseWaiting);
        awaitNoCallers(end);
        logger.info(
                "daemon.drained host={} connections={}",
                settings.host(),
                gateway.connections().count());
    }

    @Override
    public void close() {
        callerChannel.close();
        readinessChannel.close();
        metricsChannel.ifPresent(Channel::close);
        transport.close();
        eventLoops.terminationFuture().awaitUninterruptibly(FleetDaemon.CLOSE_TIMEOUT_MILLIS);
        logger.info("daemon.stopped host={}", settings.host());
    }

    private void receive(Frame frame, Replier replier) {
        if (frame.hasRoutes() && RoutesCodec.hasBody(frame.getRoutes())) {
            configurationListener.run();
        }
        follower.receive(frame, replier);
    }

    private static RetryLimiter retryLimiter(FleetSettings.Limits limits) {
        return new RetryLimiter(
                limits.retryRatio(),
                limits.retrySlack(),
                ASSUMED_ENTRY_HOSTS,
                limits.retryWindow());
    }

    private void awaitNoCallers(long until) {
        while (BootClock.nanos() - until < 0
                && gateway.connections().count() + tunnels.open() > 0) {
            pauseUntil(BootClock.nanos() + DRAIN_POLL_INTERVAL.toNanos());
        }
    }

    private CustomerAccess customerGate(Random random) {
        FleetSettings.Limits limits = settings.limits();
        OutageAllowance outage = new OutageAllowance(limits.limitTolerance(), random);
        return new CustomerAccess(
                new KeyLease(limits.keyRevocation()),
                outage,
                new AllowanceClient(
                        settings.peerName(),
                        loop,
                        new LinkedControlHosts(transport, controlHosts),
                        outage,
                        this::assumedEntryHostCount));
    }

    /**
     * Returns the number of entry hosts among which allowances are divided. Until the control hosts
     * have reported it, too low a number would let each host take too much.
     */
    private int assumedEntryHostCount() {
        return Math.max(ASSUMED_ENTRY_HOSTS, gateway.entryHostCount());
    }

    private WorkShare workShare(long now) {
        return new WorkShare(
                reports.requestCount(), follower.requestsOfOthers(now), gateway.entryHostCount());
    }

    private void controlHostConnected(HostId host) {
        follower.onConnected(host);
    }

    private void sendToControlHosts(Frame frame) {
        follower.sendToAll(frame);
    }

    private void synchronize() {
        controlHosts.checkConnections();
        upstreams.sweep();
        gateway.notices().sweep();
        gateway.quarantine().sweep();
        follower.subscribeToAll();
        follower.activateRoutes();
    }

    /** Returns the event loop on which all work of this process is done, for tests. */
    EventLoop loop() {
        return loop;
    }

    /** Returns the state that all requests share, for tests. */
    Gateway gateway() {
        return gateway;
    }

    private Channel listen(Address address, ChannelHandler channels) {
        return new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childHandler(channels)
                .bind(address.socket())
                .syncUninterruptibly()
                .channel();
    }

    private static void pauseUntil(long time) {
        long remaining = time - BootClock.nanos();
        if (remaining <= 0) {
            return;
        }
        try {
            TimeUnit.NANOSECONDS.sleep(remaining);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private SimpleHttpServer.Response readinessAnswer(String path) {
        boolean ready =
                path.equals(Calls.READINESS)
                        && follower.isReady()
                        && gateway.customers().isReady()
                        && !gateway.connections().isDraining();
        return new SimpleHttpServer.Response(ready ? OK : SERVICE_UNAVAILABLE, new byte[0]);
    }

    private SimpleHttpServer.Response metricsAnswer(String path) {
        gateway.updateMetrics();
        gateway.metrics().state("tunnels_of_others", tunnels.open());
        return new SimpleHttpServer.Response(OK, gateway.metrics().scrape());
    }
}
