package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.dispatch.Choice;
import io.stackhall.core.dispatch.Dispatcher;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.dispatch.RetryLimiter;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.quarantine.RequestDigest;
import io.stackhall.core.quarantine.Standing;
import io.stackhall.core.route.CallerLimits;
import io.stackhall.core.route.EngineSpec;
import io.stackhall.core.route.RouteTable;
import io.stackhall.core.route.ServiceEntry;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.log.LineBudget;
import io.stackhall.server.metrics.FleetMetrics;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.settings.Address;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** What all requests of one entry host share. Used on one event loop. */
final class Gateway {

    private static final Logger logger = LogManager.getLogger(Gateway.class);

    /** Between two looks at what waits: a thirtieth of the shortest objectives seen. */
    private static final long RECHECK_INTERVAL_MILLIS = 25;

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final UpstreamClient upstreams;
    private final RetryLimiter retryLimiter;
    private final RandomGenerator random;
    private final WaitingRequests waiting;
    private final DemandCounts demand = new DemandCounts();
    private final Set<CallerConnection> connections = new HashSet<>();
    private final ControlNotices notices;
    private final Quarantine quarantine;
    private final CustomerGate customers;
    private final FleetMetrics metrics;
    private final UpstreamLimits upstreamLimits;
    private final UpstreamWords upstreamAnnouncements;
    private final LineBudget lineBudget = new LineBudget();
    private RouteTable routes;
    private final FirstRoutes firstRoutes = new FirstRoutes();
    private boolean draining;
    private boolean closing;
    private int entryHostCount;
    private Runnable newlyWaitingListener = () -> {};
    private boolean recheckScheduled;

    Gateway(
            EventLoop loop,
            Dispatcher dispatcher,
            UpstreamClient upstreams,
            RetryLimiter retries,
            ControlNotices notices,
            CustomerGate customers,
            Consumer<Frame> toControlHosts,
            UpstreamLimits limits,
            FleetMetrics metrics,
            RandomGenerator random) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.upstreams = upstreams;
        this.retryLimiter = retries;
        this.notices = notices;
        this.customers = customers;
        this.upstreamLimits = limits;
        this.upstreamAnnouncements = new UpstreamWords(limits, dispatcher, notices);
        this.waiting = new WaitingRequests(limits::recount);
        this.metrics = metrics;
        this.quarantine = new Quarantine(loop, dispatcher, upstreams, metrics, toControlHosts);
        this.random = random;
    }

    /** Takes over newer routes. */
    void setRoutes(RouteTable next) {
        if (routes != null && next.version() <= routes.version()) {
            return;
        }
        logger.info(
                "routes.in-force version={} was={} routes={}",
                next.version(),
                routes == null ? -1 : routes.version(),
                next.routes().size());
        routes = next;
        Map<ServiceName, EngineSpec> engines = new HashMap<>();
        for (ServiceEntry service : next.services()) {
            service.engine().ifPresent(engine -> engines.put(service.name(), engine));
        }
        dispatcher.setEngines(engines);
        dispatcher.setObjectives(next.shortestLatencyObjectives());
        dispatcher.setColdRequestsPerSecond(next.coldRequestRates());
        customers.customers(next.customers());
        firstRoutes.release();
        dispatchWaiting();
    }

    /** Takes in what is newly known of an instance. */
    void instanceChanged(Instance instance) {
        logChange(instance);
        dispatcher.updateInstance(instance);
        quarantine.instanceAnnounced(instance.id());
        if (instance.state() == InstanceState.GONE) {
            upstreams.forget(Address.parse(instance.address()));
            upstreamAnnouncements.forget(instance.id());
        }
    }

    /**
     * A line for each state that an instance comes to; what it holds stands in the lines of the
     * control hosts. With what it holds in it, 20 hosts wrote 217 KB in 8 s before any request.
     */
    private void logChange(Instance instance) {
        boolean known =
                dispatcher
                        .find(instance.id())
                        .filter(before -> before.state() == instance.state())
                        .isPresent();
        if (!known) {
            logger.info(
                    "instance.changed id={} address={} state={} sequence={}",
                    instance.id(),
                    instance.address(),
                    instance.state(),
                    instance.sequence());
        }
    }

    /** Decides where a request goes now; one that may end instances goes apart from the others. */
    Choice choose(
            Standing standing,
            RequestDigest digest,
            Need need,
            Predicate<UpstreamId> allowed,
            Duration left,
            long now) {
        return standing instanceof Standing.Suspect
                ? quarantine.choose(digest, need, allowed, !left.isPositive(), now)
                : dispatcher.choose(need, allowed, left, now);
    }

    /** Tries to send what waits, the most urgent first. */
    void dispatchWaiting() {
        waiting.tryAll();
        upstreamLimits.lookSoon();
    }

    /** While something waits, it is looked at again and again: time alone may decide about it. */
    private void scheduleRecheck() {
        if (!recheckScheduled && !waiting.isEmpty()) {
            recheckScheduled = true;
            loop.schedule(this::recheckWaiting, RECHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void recheckWaiting() {
        recheckScheduled = false;
        try {
            dispatchWaiting();
            if (demand.urgent()) {
                newlyWaitingListener.run();
            }
        } finally {
            scheduleRecheck();
        }
    }

    /** Stops keeping connections open. */
    void drain() {
        draining = true;
    }

    /** Refuses what has not been sent, and from now on whatever comes. */
    void refuseWaiting() {
        closing = true;
        firstRoutes.release();
        waiting.tryAll();
    }

    /** Closes the connections on which nothing is under way. */
    void closeIdleConnections() {
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Returns whether the process is about to end, so that nothing more is sent. */
    boolean isClosing() {
        return closing;
    }

    boolean isDraining() {
        return draining;
    }

    FleetMetrics metrics() {
        return metrics;
    }

    LineBudget lineBudget() {
        return lineBudget;
    }

    /** Brings the measures of the present state up to date. */
    void updateMetrics() {
        metrics.state("routes_version", routes == null ? -1.0 : (double) routes.version());
        metrics.state("instances", dispatcher.instances().size());
        metrics.state("waiting", waiting.size());
        metrics.state("resends_left", retryLimiter.remaining());
        metrics.state("caller_connections", connections.size());
        quarantine.updateMetrics();
        upstreamLimits.measure();
        metrics.state("resting_upstreams", dispatcher.restingCount());
    }

    /** Returns how many callers are connected. */
    int connectionCount() {
        return connections.size();
    }

    EventLoop loop() {
        return loop;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    UpstreamClient upstreams() {
        return upstreams;
    }

    boolean hasRoutes() {
        return routes != null;
    }

    RouteTable routes() {
        return routes;
    }

    CallerLimits callerLimits() {
        return routes == null ? CallerLimits.initial() : routes.limits();
    }

    /** Returns a number by which a request's share of a split is drawn. */
    int drawTicket() {
        return random.nextInt(Integer.MAX_VALUE);
    }

    /** Takes in how many entry hosts there are. */
    void setEntryHostCount(int seen) {
        entryHostCount = seen;
        retryLimiter.updateHostCount(seen);
        dispatcher.setHostCount(seen);
    }

    /** Returns how many entry hosts there are, as far as the control hosts have told. */
    int entryHostCount() {
        return entryHostCount;
    }

    /** Has somebody told when requests for a model begin to wait. */
    void onNewlyWaiting(Runnable listener) {
        newlyWaitingListener = listener;
    }

    boolean tryAcquireRetry(ServiceName service, long now) {
        return retryLimiter.tryTake(service, now);
    }

    void requestArrived(Need need) {
        retryLimiter.recordRequest(need.service(), BootClock.nanos());
        demand.arrived(need);
    }

    DemandCounts demand() {
        return demand;
    }

    ControlNotices notices() {
        return notices;
    }

    Quarantine quarantine() {
        return quarantine;
    }

    CustomerGate customers() {
        return customers;
    }

    UpstreamLimits upstreamLimits() {
        return upstreamLimits;
    }

    UpstreamWords upstreamAnnouncements() {
        return upstreamAnnouncements;
    }

    void addWaiting(RelayedRequest request) {
        waiting.add(request);
        demand.waits(request.need());
        upstreamLimits.lookSoon();
        scheduleRecheck();
    }

    FirstRoutes firstRoutes() {
        return firstRoutes;
    }

    /** Returns how many requests for the same model are served before one. */
    int countWaitingBefore(RelayedRequest request) {
        return waiting.before(request);
    }

    /** An instance has read a prompt, so that it may take another. */
    void promptProcessed() {
        if (!waiting.isEmpty()) {
            loop.execute(this::dispatchWaiting);
        }
    }

    /** A waiting request has been sent or answered. */
    void removeWaiting(RelayedRequest request) {
        if (waiting.remove(request)) {
            demand.waitsNoMore(request.need());
        }
    }

    /** A request has ended, which may have made room for another. */
    void requestEnded(RelayedRequest request) {
        firstRoutes.remove(request);
        removeWaiting(request);
        if (!waiting.isEmpty()) {
            loop.execute(this::dispatchWaiting);
        }
    }

    void connectionOpened(CallerConnection connection) {
        connections.add(connection);
    }

    void connectionClosed(CallerConnection connection) {
        connections.remove(connection);
    }
}
