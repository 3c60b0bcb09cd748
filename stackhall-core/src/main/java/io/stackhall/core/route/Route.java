package io.stackhall.core.route;

import io.stackhall.core.id.ServiceName;
import java.time.Duration;
import java.util.List;

/**
 * Where requests of one host name and path prefix go, and what the operator allows them.
 *
 * @param name the route's name
 * @param host the host name that callers ask for, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param kind how requests may be run
 * @param timeout the longest that a request is held
 * @param objective the time within which an answer is on time
 * @param rank how urgent requests are, 0 first
 * @param split the services that share the requests, with weights
 * @param maxAttempts the most upstreams that one request is sent to
 * @param resumable whether a broken stream may go on at another upstream
 * @param longestPause the longest pause between events of a stream that is on time
 * @param callerPatience how long a caller stays without an answer, or without a further event of a
 *     stream
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

    /** Copies the split. */
    public Route {
        split = List.copyOf(split);
    }

    /** One service's share of a route's requests. */
    public record Share(ServiceName service, int weight) {}

    /** Returns whether a request may be run again after it may have run. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Returns the service for a request.
     *
     * @param ticket a number drawn evenly from the non-negative integers
     */
    public ServiceName chooseService(int ticket) {
        int total = split.stream().mapToInt(Share::weight).sum();
        int place = total == 0 ? 0 : ticket % total;
        for (Share share : split) {
            place -= share.weight();
            if (place < 0) {
                return share.service();
            }
        }
        return split.getFirst().service();
    }
}
