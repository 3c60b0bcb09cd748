package io.stackhall.server.node;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.stackhall.core.id.HostId;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.id.ZoneId;
import io.stackhall.core.membership.Announcement;
import io.stackhall.core.placement.PlacementSettings;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.callers.CallerServer;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.group.ControlState;
import io.stackhall.server.group.GroupClient;
import io.stackhall.server.group.GroupListener;
import io.stackhall.server.group.ZoneState;
import io.stackhall.server.metrics.NodeMetrics;
import io.stackhall.server.operators.OperatorServer;
import io.stackhall.server.peer.PeerTiming;
import io.stackhall.server.peer.PeerTransport;
import io.stackhall.server.peer.Replier;
import io.stackhall.server.settings.Settings;
import io.stackhall.server.storage.DataFolder;
import io.stackhall.server.upstreams.UpstreamClient;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One process of the system with fixed membership. It is an entry host, and runs a replica of each
 * group whose members in the settings include it.
 *
 * <p>Components start in the order of their dependencies and stop in the reverse order. A planned
 * stop first reports not ready, so that load balancers send no more requests, then transfers
 * leaderships and waits for the requests in flight. It interrupts no request within the drain bound
 * of the settings.
 */
public final class Daemon implements AutoCloseable {

    private static final Logger logger = LogManager.getLogger(Daemon.class);

    private static final long REPORT_INTERVAL_MILLIS = 500;
    private static final long NEIGHBOUR_INTERVAL_MILLIS = 1000;
    private static final long DEMAND_INTERVAL_MILLIS = 200;
    private static final long EXPIRY_INTERVAL_MILLIS = 250;
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final Duration ORDER_RESEND_INTERVAL = Duration.ofMillis(500);
    private static final Duration MAX_ORDER_TIMEOUT = Duration.ofSeconds(15);
    private static final int ORDER_SENDS_PER_LIFETIME = 4;
    private static final Duration DECISION_INTERVAL = Duration.ofMillis(100);
    private static final int PEER_THREADS = 2;

    private final Settings settings;
    private final Optional<DataFolder> dataFolder;
    private final Random random = new Random();
    private final long processId = random.nextLong(1, Long.MAX_VALUE);

    private final PeerTransport transport;
    private final NodeGroups groups;
    private final GroupClient client;
    private final ConfigStore config;
    private final ConfigExchange configExchange;
    private final UpstreamExchange upstreamExchange;
    private final NeighbourExchange neighbours;
    private final DemandExchange demand;
    private final UpstreamClient upstreams;
    private final TrafficDriver traffic;
    private final Map<ZoneId, PlacementDriver> placement = new HashMap<>();
    private final Housekeeping housekeeping;
    private final NodeMetrics metrics;
    private final CallerServer callers;
    private final Optional<OperatorServer> operators;
    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "clock"));
    private volatile boolean stopping;
    private int digestRound;

    /**
     * Creates a process from its settings without starting it.
     *
     * @throws IOException if its data folder cannot be used or holds damaged state
     */
    public Daemon(Settings settings, String version) throws IOException {
        this.settings = settings;
        this.dataFolder =
                settings.dataFolder().isPresent()
                        ? Optional.of(DataFolder.open(settings.dataFolder().get()))
                        : Optional.empty();
        this.transport =
                new PeerTransport(
                        settings.peers(),
                        new MultiThreadIoEventLoopGroup(PEER_THREADS, NioIoHandler.newFactory()),
                        PeerTiming.standard());
        this.groups = new NodeGroups(settings, dataFolder, transport, random);
        this.client =
                new GroupClient(
                        settings.host(),
                        transport,
                        groups.replicas(),
                        group -> settings.membersByGroup().getOrDefault(group, List.of()));
        this.config = new ConfigStore(dataFolder);
        this.configExchange = new ConfigExchange(settings, config, transport, processId);
        this.upstreamExchange = new UpstreamExchange(settings, transport);
        this.upstreams = UpstreamClient.start(settings.timing().upstreamIdle());
        this.traffic = new TrafficDriver(settings.limits().maxWaiting(), random);
        this.neighbours =
                new NeighbourExchange(
                        settings, transport, config, upstreamExchange, traffic, () -> stopping);
        this.housekeeping = new Housekeeping(settings.timing(), configExchange);
        this.metrics = new NodeMetrics(version);
        this.demand = new DemandExchange(settings, transport, traffic, placement, metrics);
        openGroups();
        this.callers =
                new CallerServer(
                        settings,
                        config,
                        upstreamExchange,
                        traffic,
                        upstreams,
                        client,
                        metrics,
                        processId,
                        () -> !stopping);
        this.operators =
                settings.operators()
                        .map(
                                address ->
                                        new OperatorServer(
                                                address,
                                                settings,
                                                client,
                                                groups.replicas(),
                                                config,
                                                configExchange,
                                                upstreamExchange,
                                                metrics,
                                                placement));
    }

    /** Starts all components. */
    public void start() throws IOException {
        upstreamExchange.addListener(new DriverNotifier());
        config.addListener(traffic::applyConfiguration);
        placement.values().forEach(driver -> config.addListener(driver::applyConfiguration));
        placement.forEach(
                (zone, driver) -> driver.start(groups.replicas().get(Settings.zoneGroup(zone))));
        transport.open(this::receive);
        linkOtherHosts();
        groups.start();
        traffic.start();
        callers.start();
        for (OperatorServer server : operators.stream().toList()) {
            server.start();
        }
        scheduleEvery(REPORT_INTERVAL_MILLIS, this::sendReports);
        scheduleEvery(DEMAND_INTERVAL_MILLIS, demand::sendReport);
        scheduleEvery(NEIGHBOUR_INTERVAL_MILLIS, neighbours::sendReport);
        scheduleEvery(EXPIRY_INTERVAL_MILLIS, upstreamExchange::expire);
        scheduleEvery(EXPIRY_INTERVAL_MILLIS, neighbours::expire);
        scheduleEvery(Housekeeping.intervalMillis(), this::cleanUp);
        logger.info("daemon.started host={} zone={}", settings.host(), settings.zone());
    }

    private void linkOtherHosts() {
        for (Settings.Host host : settings.hosts()) {
            if (!host.host().equals(settings.host())) {
                transport.link(host.host(), host.peers(), () -> {});
            }
        }
    }

    /**
     * Reports not ready, transfers leaderships and blocks until the grace period has passed and no
     * request is in flight, or until the drain bound of the settings has passed.
     */
    public void drain() {
        stopping = true;
        logger.info("daemon.draining host={}", settings.host());
        callers.stopTakingWork();
        neighbours.sendReport();
        groups.transferLeaderships();
        long graceEnd = BootClock.nanos() + settings.timing().drainGrace().toNanos();
        long deadline = BootClock.nanos() + settings.timing().drainBound().toNanos();
        while (BootClock.nanos() - deadline < 0) {
            boolean graceOver = BootClock.nanos() - graceEnd >= 0;
            if (graceOver && traffic.inFlight().get() == 0) {
                return;
            }
            pause();
        }
        logger.warn("daemon.drain-bound inFlight={}", traffic.inFlight().get());
    }

    @Override
    public void close() throws IOException {
        scheduler.shutdownNow();
        callers.close();
        operators.ifPresent(OperatorServer::close);
        placement.values().forEach(PlacementDriver::close);
        traffic.close();
        groups.close();
        transport.close();
        config.close();
        upstreams.close();
        if (dataFolder.isPresent()) {
            dataFolder.get().close();
        }
        logger.info("daemon.stopped host={}", settings.host());
    }

    private void openGroups() throws IOException {
        ControlState control = new ControlState();
        groups.openControl(control, new ControlListener(control));
        int zones = settings.zones().size();
        for (Map.Entry<ZoneId, List<HostId>> entry : settings.groups().zones().entrySet()) {
            if (entry.getValue().contains(settings.host())) {
                PlacementSettings timing =
                        new PlacementSettings(
                                settings.timing().orderLifetime(),
                                ORDER_RESEND_INTERVAL,
                                DECISION_INTERVAL,
                                zones);
                PlacementDriver driver =
                        new PlacementDriver(
                                entry.getKey().value(), timing, upstreams.orders(orderTimeout()));
                placement.put(entry.getKey(), driver);
                ZoneState state = new ZoneState();
                groups.openZone(entry.getKey(), state, new ZoneListener(state, driver));
            }
        }
    }

    /**
     * Returns how long to wait for the answer to one copy of an order: a quarter of the order
     * lifetime, at most 15 seconds. If the load takes longer, the resent order joins it.
     */
    private Duration orderTimeout() {
        Duration share = settings.timing().orderLifetime().dividedBy(ORDER_SENDS_PER_LIFETIME);
        return share.compareTo(MAX_ORDER_TIMEOUT) < 0 ? share : MAX_ORDER_TIMEOUT;
    }

    private void receive(Frame frame, Replier replier) {
        switch (frame.getBodyCase()) {
            case RAFT -> groups.receive(frame.getRaft());
            case HELLO -> groups.receive(frame.getHello());
            case COMMAND -> client.serve(frame.getCall(), frame.getCommand(), replier);
            case FOLLOW -> configExchange.receive(frame.getFollow(), replier);
            case UPDATE -> configExchange.receive(frame.getUpdate());
            case UPSTREAM -> upstreamExchange.receive(frame.getUpstream());
            case DIGEST -> upstreamExchange.receive(frame.getDigest(), replier);
            case NEIGHBOUR -> neighbours.receive(frame.getNeighbour());
            case DEMAND -> demand.receive(frame.getDemand());
            default -> logger.warn("peer.frame-unknown body={}", frame.getBodyCase());
        }
    }

    private void sendReports() {
        configExchange.sendReport();
        upstreamExchange.sendDigests(digestRound++);
        metrics.state("config_revision", "", config.current().revision());
        groups.replicas()
                .forEach(
                        (name, host) -> {
                            metrics.state("group_leads", name, host.holdsLeaseNow() ? 1 : 0);
                            metrics.state("group_commit_index", name, host.view().commitIndex());
                        });
        placement.forEach(
                (zone, driver) -> driver.measures().thenAccept(of -> publishMeasures(zone, of)));
    }

    private void publishMeasures(ZoneId zone, PlacementDriver.Measures measures) {
        String active = zone + " " + measures.active().text();
        metrics.state("placement_loads", active, measures.counts().loads());
        metrics.state("placement_needless_loads", active, measures.counts().needlessLoads());
        metrics.state("placement_misses", active, measures.counts().misses());
        measures.compared()
                .ifPresent(
                        of -> {
                            metrics.state("shadow_loads", zone.value(), of.counts().loads());
                            metrics.state("shadow_misses", zone.value(), of.counts().misses());
                        });
    }

    private void cleanUp() {
        groups.replicas()
                .forEach(
                        (name, host) -> {
                            if (name.equals(Settings.CONTROL_GROUP)) {
                                housekeeping.cleanUpWork(host);
                            } else {
                                housekeeping.cleanUpClaims(host);
                            }
                        });
    }

    private void scheduleEvery(long millis, Runnable task) {
        scheduler.scheduleAtFixedRate(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        logger.error("daemon.task-failed", e);
                    }
                },
                millis,
                millis,
                TimeUnit.MILLISECONDS);
    }

    private static void pause() {
        try {
            Thread.sleep(DRAIN_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Offers a committed configuration to the store of this host. */
    private final class ControlListener implements GroupListener {
        private final ControlState state;

        ControlListener(ControlState state) {
            this.state = state;
        }

        @Override
        public void changed() {
            config.offer(state.register().configuration(), 0);
        }

        @Override
        public void led(boolean leads) {
            configExchange.setLeading(leads);
        }
    }

    /** Notifies the placement of a zone of changes in the state and leadership of its group. */
    private static final class ZoneListener implements GroupListener {
        private final ZoneState state;
        private final PlacementDriver driver;

        ZoneListener(ZoneState state, PlacementDriver driver) {
            this.state = state;
            this.driver = driver;
        }

        @Override
        public void changed() {
            driver.updateLedger(state.orders().state());
        }

        @Override
        public void led(boolean leading) {
            driver.setLeading(leading, state.orders().state());
        }
    }

    /** Notifies the traffic and placement drivers of announced and lost upstreams. */
    private final class DriverNotifier implements UpstreamExchange.Listener {
        @Override
        public void upstreamAnnounced(ZoneId zone, Announcement announcement) {
            if (zone.equals(settings.zone())) {
                traffic.receiveAnnouncement(announcement);
            }
            PlacementDriver driver = placement.get(zone);
            if (driver != null) {
                driver.receiveAnnouncement(announcement);
            }
        }

        @Override
        public void upstreamLost(ZoneId zone, UpstreamId upstream) {
            if (zone.equals(settings.zone())) {
                traffic.removeUpstream(upstream);
            }
            PlacementDriver driver = placement.get(zone);
            if (driver != null) {
                driver.removeUpstream(upstream);
            }
        }
    }
}
