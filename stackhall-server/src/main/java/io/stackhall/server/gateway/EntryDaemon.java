package io.stackhall.server.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.stackhall.core.backpressure.Backpressure;
import io.stackhall.core.backpressure.RestingUpstreams;
import io.stackhall.core.customer.KeyLease;
import io.stackhall.core.customer.OutageAllowance;
import io.stackhall.core.dispatch.Dispatcher;
import io.stackhall.core.dispatch.RetryLimiter;
import io.stackhall.core.id.HostId;
import io.stackhall.core.limit.LimitedUpstreams;
import io.stackhall.core.quarantine.HostPauseDetector;
import io.stackhall.platform.Calls;
import io.stackhall.platform.Headers;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.ControlHosts;
import io.stackhall.server.fleet.FleetDaemon;
import io.stackhall.server.fleet.RepeatedTask;
import io.stackhall.server.fleet.SimpleHttpServer;
import io.stackhall.server.metrics.FleetMetrics;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.settings.Address;
import io.stackhall.server.settings.FleetSettings;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A process of the entry role. */
public final class EntryDaemon implements FleetDaemon {

    private static final Logger logger = LogManager.getLogger(EntryDaemon.class);

    private static final long FOLLOW_MILLIS = 1000;
    private static final long DEMAND_MILLIS = 500;

    /** How often it is seen whether a report of this host's work is due. */
    private static final long WORK_MILLIS = 150;

    /** The balancer leaves a host that was not ready twice, a second apart. */
    private static final Duration BALANCER_LEAVES = Duration.ofMillis(2500);

    /** Left of the grace when the process ends at the latest. */
    private static final Duration GRACE_MARGIN = Duration.ofMillis(700);

    /** What has not been sent by then is refused, in time for its caller to read it. */
    private static final Duration WAITING_ENDS_BEFORE = Duration.ofMillis(1500);

    private static final Duration DRAIN_POLL = Duration.ofMillis(50);

    /** Several confirmations may be lost before this host's keys stop counting. */
    private static final int CONFIRMATIONS_IN_REVOCATION = 6;

    /** How many entry hosts share the slack for resends, until the control hosts have told. */
    private static final int ASSUMED_ENTRY_HOSTS = 10;

    private static final int BACKLOG = 512;
    private static final int READY = 200;
    private static final int NOT_READY = 503;

    private final FleetSettings settings;
    private final FleetSettings.Entry entry;
    private final MultiThreadIoEventLoopGroup threads =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = threads.next();
    private final PeerTransport transport;
    private final ControlHosts hosts;
    private final Gateway gateway;
    private final ControlSubscriber follower;
    private final EntryReporter reports;
    private final UpstreamClient upstreams;
    private Channel callers;
    private Channel readiness;
    private Optional<Channel> metrics = Optional.empty();

    /** Creates a process that does not run yet. */
    public EntryDaemon(FleetSettings settings, FleetSettings.Entry entry) {
        this.settings = settings;
        this.entry = entry;
        Random random = new Random();
        FleetSettings.Limits limits = settings.limits();
        this.transport = new PeerTransport(settings.peers(), threads, FleetDaemon.PEER_TIMING);
        this.hosts = new ControlHosts(settings, transport, this::connected);
        this.upstreams = new UpstreamClient(loop, Headers.REQUEST_ID);
        LimitedUpstreams limited = new LimitedUpstreams(settings.peerName(), random);
        limited.setHostCount(ASSUMED_ENTRY_HOSTS);
        FleetMetrics figures = new FleetMetrics();
        UpstreamLimitClient upstreamLimits =
                new UpstreamLimitClient(
                        settings.peerName(), loop, limited, new ControlLinks(), figures);
        this.gateway =
                new Gateway(
                        loop,
                        new Dispatcher(
                                settings.zone(),
                                new Backpressure(limited, new RestingUpstreams(random)),
                                random),
                        upstreams,
                        new RetryLimiter(
                                limits.retryRatio(),
                                limits.retrySlack(),
                                ASSUMED_ENTRY_HOSTS,
                                limits.retryWindow()),
                        new ControlNotifier(settings.peerName(), this::tellControlHosts),
                        customerGate(random),
                        this::tellControlHosts,
                        upstreamLimits,
                        figures,
                        random);
        this.follower = new ControlSubscriber(settings, loop, transport, hosts, gateway, random);
        this.reports = new EntryReporter(settings, gateway, follower);
        gateway.onNewlyWaiting(reports::reportDemand);
    }

    @Override
    public void start() {
        transport.open(follower::receive);
        hosts.start();
        callers = listen(entry.callers(), new CallerChannels());
        readiness = SimpleHttpServer.listen(threads, entry.readiness(), this::readinessAnswer);
        metrics =
                settings.metrics()
                        .map(at -> SimpleHttpServer.listen(threads, at, this::metricsAnswer));
        RepeatedTask.every(loop, FOLLOW_MILLIS, this::follow);
        RepeatedTask.every(loop, DEMAND_MILLIS, reports::reportDemand);
        RepeatedTask.every(loop, WORK_MILLIS, reports::reportWork);
        settings.limits()
                .keyRevocation()
                .ifPresent(
                        time ->
                                RepeatedTask.every(
                                        loop,
                                        time.toMillis() / CONFIRMATIONS_IN_REVOCATION,
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
        hosts.setSeeds(next.seedPeers());
    }

    @Override
    public void drain() {
        long started = BootClock.nanos();
        logger.info("daemon.draining host={}", settings.host());
        loop.execute(gateway::drain);
        long leave = started + BALANCER_LEAVES.toNanos();
        long end = started + settings.limits().stopGrace().minus(GRACE_MARGIN).toNanos();
        pauseUntil(leave);
        callers.close();
        loop.execute(gateway::closeResting);
        long refuse = end - WAITING_ENDS_BEFORE.toNanos();
        awaitNoCallers(refuse);
        loop.execute(gateway::refuseWaiting);
        awaitNoCallers(end);
        logger.info(
                "daemon.drained host={} connections={}", settings.host(), gateway.connections());
    }

    @Override
    public void close() {
        callers.close();
        readiness.close();
        metrics.ifPresent(Channel::close);
        transport.close();
        threads.terminationFuture().awaitUninterruptibly(FleetDaemon.CLOSE_TIMEOUT_MILLIS);
        logger.info("daemon.stopped host={}", settings.host());
    }

    private void awaitNoCallers(long until) {
        while (BootClock.nanos() - until < 0 && gateway.connections() > 0) {
            pauseUntil(BootClock.nanos() + DRAIN_POLL.toNanos());
        }
    }

    private CustomerAccess customerGate(Random random) {
        FleetSettings.Limits limits = settings.limits();
        OutageAllowance outage = new OutageAllowance(limits.limitTolerance(), random);
        return new CustomerAccess(
                new KeyLease(limits.keyRevocation()),
                outage,
                new AllowanceClient(loop, new ControlLinks(), outage, this::entryHosts));
    }

    /** Before the control hosts have told how many there are, few would each take too much. */
    private int entryHosts() {
        return Math.max(ASSUMED_ENTRY_HOSTS, gateway.entryHosts());
    }

    private void connected(HostId host) {
        follower.onConnected(host);
    }

    private void tellControlHosts(Frame frame) {
        follower.sendToAll(frame);
    }

    private void follow() {
        hosts.checkConnections();
        upstreams.sweep();
        gateway.notices().sweep();
        gateway.quarantine().sweep();
        follower.subscribeToAll();
        follower.activateRoutes();
    }

    private Channel listen(Address address, ChannelHandler channels) {
        return new ServerBootstrap()
                .group(threads)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childHandler(channels)
                .bind(address.socket())
                .syncUninterruptibly()
                .channel();
    }

    private static void pauseUntil(long time) {
        long left = time - BootClock.nanos();
        if (left <= 0) {
            return;
        }
        try {
            TimeUnit.NANOSECONDS.sleep(left);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The way to the control hosts for questions about allowances and limits. */
    private final class ControlLinks implements ControlHostConnections {
        @Override
        public boolean send(HostId host, Frame frame) {
            return transport.send(host, frame);
        }

        @Override
        public List<HostId> connected() {
            return hosts.knownHosts().stream().filter(transport::connected).toList();
        }
    }

    /** Connections of callers. */
    private final class CallerChannels extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.config().setTcpNoDelay(true);
            CallerConnection connection = new CallerConnection(gateway);
            channel.pipeline()
                    .addLast(
                            new ChannelInboundHandlerAdapter() {
                                @Override
                                public void channelRead(
                                        ChannelHandlerContext context, Object bytes) {
                                    connection.bytesArrived();
                                    context.fireChannelRead(bytes);
                                }
                            },
                            new RequestDecoder(gateway.limits()),
                            new HttpResponseEncoder(),
                            connection);
        }
    }

    private SimpleHttpServer.Response readinessAnswer(String path) {
        boolean ready =
                path.equals(Calls.READINESS)
                        && follower.isReady()
                        && gateway.customers().isReady()
                        && !gateway.draining();
        return new SimpleHttpServer.Response(ready ? READY : NOT_READY, new byte[0]);
    }

    private SimpleHttpServer.Response metricsAnswer(String path) {
        gateway.measure();
        return new SimpleHttpServer.Response(READY, gateway.metrics().scrape());
    }
}
