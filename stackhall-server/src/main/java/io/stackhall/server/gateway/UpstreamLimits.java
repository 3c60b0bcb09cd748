package io.stackhall.server.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.platform.RequestHeaders;
import io.stackhall.server.metrics.FleetMetrics;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** What instances say of how many requests they take, at one entry host. Used on one loop. */
final class UpstreamLimits {

    private static final Logger logger = LogManager.getLogger(UpstreamLimits.class);

    private final FleetMetrics metrics;
    private final Map<UpstreamId, Double> named = new HashMap<>();
    private final Set<UpstreamId> unreadable = new HashSet<>();

    UpstreamLimits(FleetMetrics metrics) {
        this.metrics = metrics;
    }

    /** Takes in the head of an answer. */
    void answered(UpstreamId id, HttpResponse head) {
        RequestHeaders.limit(head.headers()::get)
                .peek(limit -> told(id, limit))
                .peekLeft(
                        finding -> {
                            if (unreadable.add(id)) {
                                logger.warn("upstream.limit-unreadable id={} {}", id, finding);
                            }
                        });
    }

    private void told(UpstreamId id, OptionalDouble limit) {
        Double before = limit.isPresent() ? named.put(id, limit.getAsDouble()) : named.remove(id);
        Double now = limit.isPresent() ? limit.getAsDouble() : null;
        if (now == null ? before != null : !now.equals(before)) {
            logger.info("upstream.limit-heard id={} perSecond={} before={}", id, now, before);
        }
    }

    /** Notes that a request is sent to an instance. */
    void sent(UpstreamId id) {
        if (named.containsKey(id)) {
            metrics.limitedRequest("sent");
        }
    }

    /** Forgets an instance that is gone. */
    void forget(UpstreamId id) {
        named.remove(id);
        unreadable.remove(id);
    }

    /** Brings the measures of the present state up to date. */
    void measure() {
        metrics.state("limited_upstreams", named.size());
    }
}
