package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.stackhall.core.answer.HeldBytes;
import io.stackhall.core.dispatch.Choice;
import io.stackhall.core.dispatch.Dispatcher;
import io.stackhall.core.dispatch.Need;
import io.stackhall.core.dispatch.RetryLimiter;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.overload.LoopDelayMeter;
import io.stackhall.core.quarantine.Standing;
import io.stackhall.core.route.CallerLimits;
import io.stackhall.core.route.DenialPolicy;
import io.stackhall.core.route.RouteTable;
import io.stackhall.core.stream.ReadPace;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.log.LineBudget;
import io.stackhall.server.metrics.FleetMetrics;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.settings.Address;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The state that all requests of one entry host share. Used on one event loop. */
final class Gateway {

    private static final Logger logger = LogManager.getLogger(Gateway.class);

    private final EventLoop loop;
    private final LoopDelayMeter loopDelay;
    private final Dispatcher dispatcher;
    private final UpstreamClient upstreams;
    private final RetryLimiter retryLimiter;
    private final RandomGenerator random;
    private final WaitingRequests waiting;
    private final DemandCounts demand = new DemandCounts();
    private final CallerConnections connections = new CallerConnections();
    private final ControlNotifier notices;
    private final Quarantine quarantine;
    private final CustomerAccess customers;
    private final FleetMetrics metrics;
    private final UpstreamLimitClient upstreamLimits;
    private final UpstreamSlotClient upstreamSlots;
    private final StreamOriginClient streamOrigins;
    private final UpstreamAnnouncements upstreamAnnouncements;
    private final UpstreamPathMonitor paths;
    private final PathProber pathProber;
    private final LineBudget lineBudget = new LineBudget();
    private final HeldBytes heldBytes = new HeldBytes(HeldBody.hostLimit());
    private Optional<LoadShedding> loadShedding = Optional.empty();
    private final Denials denials;
    private RouteTable routes;
    private final RequestsAwaitingRoutes firstRoutes = new RequestsAwaitingRoutes();
    private boolean closing;
    private int entryHostCount;
    private final RecheckTimer recheckTimer;

    Gateway(
            EventLoop loop,
            LoopDelayMeter loopDelay,
            Dispatcher dispatcher,
            UpstreamClient upstreams,
            UpstreamPathMonitor paths,
            RetryLimiter retries,
            ControlNotifier notices,
            CustomerAccess customers,
            DenialPolicy denialPolicy,
            Consumer<Frame> toControlHosts,
            UpstreamLimitClient limits,
            UpstreamSlotClient slots,
            StreamOriginClient streamOrigins,
            FleetMetrics metrics,
            RandomGenerator random) {
        this.loop = loop;
        this.loopDelay = loopDelay;
        this.dispatcher = dispatcher;
        this.upstreams = upstreams;
        this.retryLimiter = retries;
        this.notices = notices;
        this.customers = customers;
        this.denials = new Denials(loop, denialPolicy, this::routesVersion);
        this.upstreamLimits = limits;
        this.upstreamSlots = slots;
        this.streamOrigins = streamOrigins;
        this.upstreamAnnouncements = new UpstreamAnnouncements(limits, slots, dispatcher, notices);
        this.waiting = new WaitingRequests(List.of(limits::resetWaiting, slots::resetWaiting));
        this.recheckTimer =
                new RecheckTimer(loop, waiting, this::retryWaiting, demand::notifyNewlyWaiting);
        this.metrics = metrics;
        this.paths = paths;
        this.pathProber = new PathProber(loop, upstreams, paths, dispatcher, notices, random);
        this.quarantine =
                new Quarantine(
                        loop,
                        dispatcher,
                        paths,
                        pathProber,
                        slots::isBrittle,
                        metrics,
                        toControlHosts,
                        random);
        this.random = random;
    }

    /** Puts routes into force, unless those in force are as new or newer. */
    void setRoutes(RouteTable next) {
        if (routes != null && next.version() <= routes.version()) {
            return;
        }
        logger.info(
                "routes.in-force version={} was={} routes={}",
                next.version(),
                routesVersion(),
                next.routes().size());
        routes = next;
        dispatcher.setEngines(next.engines());
        dispatcher.setObjectives(next.shortestLatencyObjectives());
        dispatcher.setColdRequestsPerSecond(next.coldRequestRates());
        upstreams.setReadInterval(ReadPace.interval(next.eventGapObjectives()));
        customers.setCustomers(next.customers());
        loadShedding.ifPresent(shedding -> shedding.setRoutes(next));
        pathProber.setRoutes(next);
        firstRoutes.resumeAll();
        denials.resumeAll();
        dispatchWaiting();
    }

    /** Sets how this host refuses requests while it is overloaded, before it has routes. */
    void setLoadShedding(LoadShedding shedding) {
        loadShedding = Optional.of(shedding);
    }

    /** Returns the refusal of an arriving request, if this host is too overloaded to admit it. */
    Optional<FullHttpResponse> shed(CallerRequest request) {
        return loadShedding.flatMap(shedding -> shedding.refuse(request, BootClock.nanos()));
    }

    /**
     * Returns whether a caller's new connection is closed unread, since this host is overloaded.
     */
    boolean closesNextConnection() {
        return loadShedding.filter(LoadShedding::closesNext).isPresent();
    }

    /** Applies a change of an instance. */
    void instanceChanged(Instance instance) {
        InstanceLog.logChange(instance, dispatcher.find(instance.id()));
        dispatcher.updateInstance(instance);
        paths.instanceChanged(instance);
        streamOrigins.instanceChanged(instance);
        if (instance.state() != InstanceState.GONE) {
            upstreamSlots.instanceChanged(instance);
        }
        quarantine.instanceAnnounced(instance.id());
        if (instance.state() == InstanceState.GONE) {
            upstreams.forget(Address.parse(instance.address()));
            upstreamAnnouncements.forget(instance.id());
        }
    }

    /** Chooses an instance for a request; a request suspected of crashing instances is isolated. */
    Choice choose(
            Standing standing,
            Need need,
            Predicate<UpstreamId> allowed,
            Duration remaining,
            long now) {
        if (paths.reachesNone()) {
            return new Choice.NoPath(paths.retryDelay());
        }
        return standing instanceof Standing.Suspect suspect
                ? quarantine.choose(suspect, need, allowed, !remaining.isPositive(), now)
                : dispatcher.choose(need, allowed, remaining, now);
    }

    /** Reconsiders all waiting requests soon, in the order of {@link WaitingRequests}. */
    void dispatchWaiting() {
        if (waiting.isEmpty()) {
            checkLeases();
        } else {
            recheckTimer.trigger();
        }
    }

    private void retryWaiting() {
        waiting.retryAll();
        checkLeases();
    }

    private void checkLeases() {
        upstreamLimits.scheduleCheck();
        upstreamSlots.scheduleCheck();
    }

    /** Refuses the requests that have not been sent, and every request that arrives later. */
    void refuseWaiting() {
        closing = true;
        firstRoutes.resumeAll();
        denials.resumeAll();
        waiting.retryAll();
    }

    /** Returns whether the process is about to stop, so that no more requests are sent. */
    boolean isClosing() {
        return closing;
    }

    FleetMetrics metrics() {
        return metrics;
    }

    LineBudget lineBudget() {
        return lineBudget;
    }

    HeldBytes heldBytes() {
        return heldBytes;
    }

    /** Updates the gauges of the current state. */
    void updateMetrics() {
        metrics.state("routes_version", (double) routesVersion());
        metrics.state("instances", dispatcher.instances().size());
        metrics.state("waiting", waiting.size());
        metrics.state("resends_left", retryLimiter.remaining());
        metrics.state("caller_connections", connections.count());
        metrics.state("held_answer_bytes", (double) heldBytes.held());
        quarantine.updateMetrics();
        paths.updateMetrics();
        upstreamLimits.measure();
        upstreamSlots.measure();
        streamOrigins.measure();
        metrics.state("resting_upstreams", dispatcher.restingCount());
    }

    /** Returns the connections of callers. */
    CallerConnections connections() {
        return connections;
    }

    EventLoop loop() {
        return loop;
    }

    LoopDelayMeter loopDelay() {
        return loopDelay;
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

    /** Returns the version of the active routes, negative if there are none. */
    long routesVersion() {
        return routes == null ? -1 : routes.version();
    }

    CallerLimits callerLimits() {
        return routes == null ? CallerLimits.initial() : routes.limits();
    }

    /** Draws a random number that selects one service of a route's traffic split. */
    int drawTicket() {
        return random.nextInt(Integer.MAX_VALUE);
    }

    /** Sets the number of entry hosts, which share limits among them. */
    void setEntryHostCount(int count) {
        entryHostCount = count;
        paths.setHostCount(count);
        retryLimiter.updateHostCount(count);
        dispatcher.setHostCount(count);
    }

    /** Returns the number of entry hosts that the control hosts have reported, 0 before that. */
    int entryHostCount() {
        return entryHostCount;
    }

    boolean tryAcquireRetry(ServiceName service, long now) {
        return retryLimiter.tryTake(service, now);
    }

    void requestArrived(Need need) {
        retryLimiter.recordRequest(need.service(), BootClock.nanos());
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

    Denials denials() {
        return denials;
    }

    CustomerAccess customers() {
        return customers;
    }

    UpstreamLimitClient upstreamLimits() {
        return upstreamLimits;
    }

    PathProber pathProber() {
        return pathProber;
    }

    UpstreamPathMonitor paths() {
        return paths;
    }

    UpstreamSlotClient upstreamSlots() {
        return upstreamSlots;
    }

    StreamOriginClient streamOrigins() {
        return streamOrigins;
    }

    UpstreamAnnouncements upstreamAnnouncements() {
        return upstreamAnnouncements;
    }

    void addWaiting(RelayedRequest request) {
        waiting.add(request);
        demand.recordWaitStart(request.need());
        upstreamLimits.scheduleCheck();
        upstreamSlots.scheduleCheck();
        recheckTimer.schedule();
    }

    RequestsAwaitingRoutes firstRoutes() {
        return firstRoutes;
    }

    /**
     * Returns the number of waiting requests for the same model that are served before this one, 0
     * if its choice does not depend on them.
     */
    int countWaitingBefore(RelayedRequest request, Choice choice) {
        boolean queued = choice instanceof Choice.Full || choice instanceof Choice.HeldBack;
        return queued ? waiting.countAhead(request) : 0;
    }

    /** Called when an instance has processed a prompt, so that it may accept another request. */
    void promptProcessed() {
        if (!waiting.isEmpty()) {
            loop.execute(this::dispatchWaiting);
        }
    }

    /** Removes a request that no longer waits, if it did. */
    void removeWaiting(RelayedRequest request) {
        if (waiting.remove(request)) {
            demand.recordWaitEnd(request.need());
        }
    }

    /** Removes a request that has ended, which may have freed a slot for another one. */
    void requestEnded(RelayedRequest request) {
        firstRoutes.remove(request);
        removeWaiting(request);
        if (!waiting.isEmpty()) {
            loop.execute(this::dispatchWaiting);
        }
    }
}
