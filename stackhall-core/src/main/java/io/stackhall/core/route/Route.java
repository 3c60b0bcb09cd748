package io.stackhall.core.route;

import io.stackhall.core.id.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A route: where requests for a host name and path prefix go, and their limits and objectives.
 *
 * @param name the route's name
 * @param host the host name that callers request, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param kind how requests may be run
 * @param timeout the maximum time for which a request is held
 * @param latencyObjective the time within which an answer is on time
 * @param rank the priority of its requests, 0 is the highest
 * @param split the services that share the requests, with weights
 * @param maxAttempts the maximum number of upstreams to which one request is sent
 * @param resumable whether a broken stream may be resumed at another upstream
 * @param eventGapObjective the longest gap between events of a stream that is on time
 * @param callerTimeout how long a caller waits for an answer, or for the next event of a stream,
 *     before it disconnects
 * @param open whether requests need no customer's key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        Duration timeout,
        Duration latencyObjective,
        int rank,
        List<Share> split,
        int maxAttempts,
        boolean resumable,
        Duration eventGapObjective,
        Duration callerTimeout,
        boolean open) {

    /** Bounds for how long a caller can have its streams remembered. */
    private static final Duration MAX_CALLER_WAIT = Duration.ofMinutes(2);

    /** Copies the split. */
    public Route {
        split = List.copyOf(split);
    }

    /** One service's share of a route's requests. */
    public record Share(ServiceName service, int weight) {}

    /** Returns whether a request that may have run may be run again. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Returns the longest time from the first event of a stream to the moment at which its caller
     * takes it up: one answer lasts as long as the timeout, and so may the one that goes on with
     * it. A caller that waits for longer may come for as long as it waits.
     *
     * @param callerWait how long the caller says that it waits
     */
    public Duration maxStreamLife(Duration callerWait) {
        Duration twoAnswers = timeout.multipliedBy(2);
        Duration wait = callerWait.compareTo(MAX_CALLER_WAIT) < 0 ? callerWait : MAX_CALLER_WAIT;
        return wait.compareTo(twoAnswers) > 0 ? wait : twoAnswers;
    }

    /** Returns whether some of its requests go to a service. */
    public boolean leadsTo(ServiceName service) {
        return services().anyMatch(service::equals);
    }

    /** Returns the service of all its requests, if there is only one. */
    public Optional<ServiceName> onlyService() {
        List<ServiceName> services = services().distinct().toList();
        return services.size() == 1 ? Optional.of(services.getFirst()) : Optional.empty();
    }

    private Stream<ServiceName> services() {
        return split.stream().filter(share -> share.weight() > 0).map(Share::service);
    }

    /**
     * Returns the service for a request.
     *
     * @param ticket a uniformly distributed non-negative random integer
     */
    public ServiceName chooseService(int ticket) {
        int total = split.stream().mapToInt(Share::weight).sum();
        int remainder = total == 0 ? 0 : ticket % total;
        for (Share share : split) {
            remainder -= share.weight();
            if (remainder < 0) {
                return share.service();
            }
        }
        return split.getFirst().service();
    }
}
