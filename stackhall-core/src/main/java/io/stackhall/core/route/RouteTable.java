package io.stackhall.core.route;

import io.stackhall.core.customer.Customers;
import io.stackhall.core.id.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the routes and services.
 *
 * <p>The route of a request is the one of its host name with the longest matching path prefix.
 */
public final class RouteTable {

    private final long version;
    private final List<Route> routes;
    private final Map<ServiceName, ServiceEntry> services = new HashMap<>();
    private final CallerLimits limits;
    private final Customers customers;
    private final Map<String, List<Route>> byHost = new HashMap<>();

    /** Creates a table from routes in any order. */
    public RouteTable(
            long version,
            List<Route> routes,
            List<ServiceEntry> services,
            CallerLimits limits,
            Customers customers) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.limits = limits;
        this.customers = customers;
        services.forEach(service -> this.services.put(service.name(), service));
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), ignored -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        byHost.values().forEach(list -> list.sort(longestFirst));
    }

    /** Returns the version, which increases with every change. */
    public long version() {
        return version;
    }

    /** Returns all routes. */
    public List<Route> routes() {
        return routes;
    }

    /** Returns all services. */
    public List<ServiceEntry> services() {
        return List.copyOf(services.values());
    }

    /** Returns a service by name. */
    public Optional<ServiceEntry> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the engines of the services that run on some. */
    public Map<ServiceName, EngineSpec> engines() {
        Map<ServiceName, EngineSpec> engines = new HashMap<>();
        services.forEach(
                (name, service) -> service.engine().ifPresent(one -> engines.put(name, one)));
        return engines;
    }

    /** Returns the shortest latency objective of the routes to each service. */
    public Map<ServiceName, Duration> shortestLatencyObjectives() {
        Map<ServiceName, Duration> shortest = new HashMap<>();
        for (Route route : routes) {
            for (Route.Share share : route.split()) {
                shortest.merge(
                        share.service(),
                        route.latencyObjective(),
                        (one, other) -> one.compareTo(other) < 0 ? one : other);
            }
        }
        return shortest;
    }

    /** Returns the longest gaps between events that the routes take for being in time. */
    public List<Duration> eventGapObjectives() {
        return routes.stream().map(Route::eventGapObjective).toList();
    }

    /** Returns the rate, in requests per second, that a cold upstream of each service sustains. */
    public Map<ServiceName, Double> coldRequestRates() {
        Map<ServiceName, Double> all = new HashMap<>();
        services.forEach((name, service) -> all.put(name, service.coldPerSecond()));
        return all;
    }

    /** Returns the customers, whose keys authorize requests. */
    public Customers customers() {
        return customers;
    }

    /** Returns the limits on callers. */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the route of a request.
     *
     * @param host the requested host name, with or without a port
     * @param target the path, with or without a query
     */
    public Optional<Route> find(String host, String target) {
        String path = withoutQuery(target);
        for (Route route : byHost.getOrDefault(hostName(host), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        boolean hasPort = colon > 0 && host.indexOf(']', colon) < 0;
        return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }

    private static String withoutQuery(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
