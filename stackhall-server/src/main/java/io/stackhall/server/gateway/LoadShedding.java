package io.stackhall.server.gateway;

import io.netty.handler.codec.http.FullHttpResponse;
import io.stackhall.core.overload.ConnectionShedder;
import io.stackhall.core.overload.LoadShedder;
import io.stackhall.core.overload.LoopDelayMeter;
import io.stackhall.core.overload.RequestClass;
import io.stackhall.core.overload.WorkShare;
import io.stackhall.core.route.Route;
import io.stackhall.core.route.RouteTable;
import io.stackhall.server.metrics.FleetMetrics;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Refuses arriving requests, or closes new connections unread, while this host's event loop is
 * overloaded.
 */
final class LoadShedding {

    private static final Logger logger = LogManager.getLogger(LoadShedding.class);

    private final LoopDelayMeter meter;
    private final LoadShedder shedder;
    private final ConnectionShedder connections;
    private final LongFunction<WorkShare> work;
    private final FleetMetrics metrics;
    private RouteTable routes;
    private long closed;

    /**
     * Creates a controller that admits everything until it has routes.
     *
     * @param work the requests of this host and of the others at a time
     */
    LoadShedding(
            LoopDelayMeter meter,
            LoadShedder shedder,
            ConnectionShedder connections,
            LongFunction<WorkShare> work,
            FleetMetrics metrics) {
        this.meter = meter;
        this.shedder = shedder;
        this.connections = connections;
        this.work = work;
        this.metrics = metrics;
    }

    /** Sets the routes, whose latency objectives determine from which delay on to refuse. */
    void setRoutes(RouteTable next) {
        routes = next;
        shedder.setClasses(next.routes().stream().map(LoadShedding::classOf).toList());
    }

    /** Follows the measured delay; called after each tick of the meter. */
    void update(long now) {
        updateRefusals(now);
        boolean closedBefore = connections.isActive();
        connections.update(
                meter.expectedDelay(now), shedder.refusedFrom(), () -> work.apply(now), now);
        if (!closedBefore && connections.isActive()) {
            closed = 0;
            logger.info("connection-shedding.started delayMs={}", shedder.delay().toMillis());
        } else if (closedBefore && !connections.isActive()) {
            logger.info("connection-shedding.ended closed={}", closed);
        }
    }

    private void updateRefusals(long now) {
        switch (shedder.update(meter.expectedDelay(now), now)) {
            case STARTED ->
                    logger.info("load-shedding.started delayMs={}", shedder.delay().toMillis());
            case ENDED -> logger.info("load-shedding.ended refused={}", shedder.refused());
            case NONE -> {}
        }
    }

    /** Decides on a new connection of a caller, and returns whether to close it unread. */
    boolean closesNext() {
        boolean closes = connections.closesNext();
        if (closes) {
            closed++;
            metrics.connectionShed();
        }
        return closes;
    }

    /** Returns whether requests are refused at present. */
    boolean isActive(long now) {
        return shedder.isShedding(now);
    }

    /**
     * Returns the refusal of a request that has arrived, or empty if it is admitted. The rank is
     * that of its route: verifying its customer's key would cost more than the refusal saves.
     */
    Optional<FullHttpResponse> refuse(CallerRequest request, long now) {
        if (!shedder.isShedding(now)) {
            return Optional.empty();
        }
        Optional<Route> route = routes.find(request.authority(), request.target());
        if (route.isEmpty()) {
            return Optional.empty();
        }
        RequestClass requests = classOf(route.get());
        long remaining = RequestDeadlines.of(request, route.get()).deadlineAt() - now;
        Optional<Duration> retryAfter = shedder.refuse(requests, Duration.ofNanos(remaining), now);
        retryAfter.ifPresent(ignored -> metrics.requestShed(requests.rank()));
        return retryAfter.map(delay -> Answers.overloaded(request.id(), delay));
    }

    /** A route without a latency objective is as patient as its timeout. */
    private static RequestClass classOf(Route route) {
        Duration objective = route.latencyObjective();
        return new RequestClass(route.rank(), objective.isPositive() ? objective : route.timeout());
    }
}
