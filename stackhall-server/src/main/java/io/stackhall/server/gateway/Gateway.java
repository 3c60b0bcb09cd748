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
    private static final long WAITING_MILLIS = 25;

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final UpstreamClient upstreams;
    private final RetryLimiter retries;
    private final RandomGenerator random;
    private final WaitingRequests waiting;
    private final DemandCounts demand = new DemandCounts();
    private final Set<CallerConnection> connections = new HashSet<>();
    private final ControlNotifier notices;
    private final Quarantine quarantine;
    private final CustomerAccess customers;
    private final FleetMetrics metrics;
    private final UpstreamLimitClient limits;
    private final UpstreamAnnouncements words;
    private final LineBudget lines = new LineBudget();
    private RouteTable routes;
    private final RequestsAwaitingRoutes firstRoutes = new RequestsAwaitingRoutes();
    private boolean draining;
    private boolean closing;
    private int entryHosts;
    private Runnable newlyWaiting = () -> {};
    private boolean lookScheduled;

    Gateway(
            EventLoop loop,
            Dispatcher dispatcher,
            UpstreamClient upstreams,
            RetryLimiter retries,
            ControlNotifier notices,
            CustomerAccess customers,
            Consumer<Frame> toControlHosts,
            UpstreamLimitClient limits,
            FleetMetrics metrics,
            RandomGenerator random) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.upstreams = upstreams;
        this.retries = retries;
        this.notices = notices;
        this.customers = customers;
        this.limits = limits;
        this.words = new UpstreamAnnouncements(limits, dispatcher, notices);
        this.waiting = new WaitingRequests(limits::resetWaiting);
        this.metrics = metrics;
        this.quarantine = new Quarantine(loop, dispatcher, upstreams, metrics, toControlHosts);
        this.random = random;
    }

    /** Takes over newer routes. */
    void routes(RouteTable next) {
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
        customers.setCustomers(next.customers());
        firstRoutes.resumeAll();
        serveWaiting();
    }

    /** Takes in what is newly known of an instance. */
    void changed(Instance instance) {
        logChange(instance);
        dispatcher.updateInstance(instance);
        quarantine.heardOf(instance.id());
        if (instance.state() == InstanceState.GONE) {
            upstreams.forget(Address.parse(instance.address()));
            words.forget(instance.id());
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
    void serveWaiting() {
        waiting.retryAll();
        limits.scheduleCheck();
    }

    /** While something waits, it is looked at again and again: time alone may decide about it. */
    private void lookAgainLater() {
        if (!lookScheduled && !waiting.isEmpty()) {
            lookScheduled = true;
            loop.schedule(this::lookAgain, WAITING_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void lookAgain() {
        lookScheduled = false;
        try {
            serveWaiting();
            if (demand.hasNewlyWaiting()) {
                newlyWaiting.run();
            }
        } finally {
            lookAgainLater();
        }
    }

    /** Stops keeping connections open. */
    void drain() {
        draining = true;
    }

    /** Refuses what has not been sent, and from now on whatever comes. */
    void refuseWaiting() {
        closing = true;
        firstRoutes.resumeAll();
        waiting.retryAll();
    }

    /** Closes the connections on which nothing is under way. */
    void closeResting() {
        List.copyOf(connections).forEach(CallerConnection::closeIfResting);
    }

    /** Returns whether the process is about to end, so that nothing more is sent. */
    boolean closing() {
        return closing;
    }

    boolean draining() {
        return draining;
    }

    FleetMetrics metrics() {
        return metrics;
    }

    LineBudget lines() {
        return lines;
    }

    /** Brings the measures of the present state up to date. */
    void measure() {
        metrics.state("routes_version", routes == null ? -1.0 : (double) routes.version());
        metrics.state("instances", dispatcher.instances().size());
        metrics.state("waiting", waiting.size());
        metrics.state("resends_left", retries.remaining());
        metrics.state("caller_connections", connections.size());
        quarantine.measure();
        limits.measure();
        metrics.state("resting_upstreams", dispatcher.restingCount());
    }

    /** Returns how many callers are connected. */
    int connections() {
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

    boolean knowsRoutes() {
        return routes != null;
    }

    RouteTable routes() {
        return routes;
    }

    CallerLimits limits() {
        return routes == null ? CallerLimits.initial() : routes.limits();
    }

    /** Returns a number by which a request's share of a split is drawn. */
    int ticket() {
        return random.nextInt(Integer.MAX_VALUE);
    }

    /** Takes in how many entry hosts there are. */
    void entryHosts(int seen) {
        entryHosts = seen;
        retries.updateHostCount(seen);
        dispatcher.setHostCount(seen);
    }

    /** Returns how many entry hosts there are, as far as the control hosts have told. */
    int entryHosts() {
        return entryHosts;
    }

    /** Has somebody told when requests for a model begin to wait. */
    void onNewlyWaiting(Runnable listener) {
        newlyWaiting = listener;
    }

    boolean mayResend(ServiceName service, long now) {
        return retries.tryTake(service, now);
    }

    void arrived(Need need) {
        retries.recordRequest(need.service(), BootClock.nanos());
        demand.recordArrival(need);
    }

    DemandCounts demand() {
        return demand;
    }

    ControlNotifier notices() {
        return notices;
    }

    Quarantine quarantine() {
        return quarantine;
    }

    CustomerAccess customers() {
        return customers;
    }

    UpstreamLimitClient upstreamLimits() {
        return limits;
    }

    UpstreamAnnouncements upstreamWords() {
        return words;
    }

    void waits(RelayedRequest request) {
        waiting.add(request);
        demand.recordWaitStart(request.need());
        limits.scheduleCheck();
        lookAgainLater();
    }

    RequestsAwaitingRoutes firstRoutes() {
        return firstRoutes;
    }

    /** Returns how many requests for the same model are served before one. */
    int waitingBefore(RelayedRequest request) {
        return waiting.countAhead(request);
    }

    /** An instance has read a prompt, so that it may take another. */
    void promptRead() {
        if (!waiting.isEmpty()) {
            loop.execute(this::serveWaiting);
        }
    }

    /** A waiting request has been sent or answered. */
    void waitsNoMore(RelayedRequest request) {
        if (waiting.remove(request)) {
            demand.recordWaitEnd(request.need());
        }
    }

    /** A request has ended, which may have made room for another. */
    void gone(RelayedRequest request) {
        firstRoutes.remove(request);
        waitsNoMore(request);
        if (!waiting.isEmpty()) {
            loop.execute(this::serveWaiting);
        }
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }
}
