package io.stackhall.server.load;

import java.util.Map;

/**
 * What a load run has seen.
 *
 * @param shape the shape
 * @param seconds how long requests were sent
 * @param offered requests sent
 * @param attained requests answered whole within their deadline
 * @param accelerators how many accelerators served them
 * @param attainmentPerAccelerator the share attained, over accelerators
 * @param byKind the same for each kind of request
 */
public record LoadResult(
        String shape,
        double seconds,
        long offered,
        long attained,
        int accelerators,
        double attainmentPerAccelerator,
        Map<String, Kind> byKind) {

    /**
     * What was seen of one kind of request. Latencies are of requests answered whole, in ms,
     * counted from when they were due, so that a stalled sender hides nothing.
     */
    public record Kind(
            long offered,
            long attained,
            long refused,
            long failed,
            double p50Millis,
            double p99Millis,
            double p999Millis) {}
}
