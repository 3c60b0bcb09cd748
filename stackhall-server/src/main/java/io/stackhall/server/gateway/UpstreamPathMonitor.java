package io.stackhall.server.gateway;

import io.stackhall.core.fleet.Instance;
import io.stackhall.core.fleet.InstanceState;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.core.path.UpstreamPaths;
import io.stackhall.core.path.UpstreamPaths.Change;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.metrics.FleetMetrics;
import io.stackhall.server.relay.CallFailure;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps track of which upstreams this host reaches on its own connections, and logs when it reaches
 * none. Used on one event loop.
 */
final class UpstreamPathMonitor {

    private static final Logger logger = LogManager.getLogger(UpstreamPathMonitor.class);

    private final UpstreamPaths paths = new UpstreamPaths();
    private final FleetMetrics metrics;
    private long cutOffAt;

    UpstreamPathMonitor(FleetMetrics metrics) {
        this.metrics = metrics;
    }

    /** Applies a change of an instance. */
    void instanceChanged(Instance instance) {
        if (instance.state() == InstanceState.GONE) {
            paths.forget(instance.id());
        } else {
            paths.add(instance.id());
        }
    }

    /** Records that a request is written on a connection of this host. */
    void sent(UpstreamId id) {
        paths.sent(id, BootClock.nanos());
    }

    /** Records that such a request has ended. */
    void ended(UpstreamId id) {
        paths.ended(id);
    }

    /**
     * Records bytes from an upstream on a connection of this host.
     *
     * @param askedAt when the request that they answer was sent
     */
    void heard(UpstreamId id, long askedAt) {
        log(paths.heard(id, askedAt, BootClock.nanos()), id);
    }

    /** Records that a connection to an upstream has failed before an answer began. */
    void failed(UpstreamId id, CallFailure.Stage stage) {
        metrics.pathFailed(stage.name());
        log(paths.failed(id, BootClock.nanos()), id);
    }

    /** Updates the gauges of the current state. */
    void updateMetrics() {
        metrics.state("cut_off_from_upstreams", paths.isCutOff() ? 1 : 0);
        metrics.state("broken_upstream_paths", paths.brokenCount());
    }

    private void log(Change change, UpstreamId id) {
        long now = BootClock.nanos();
        switch (change) {
            case CUT_OFF -> {
                cutOffAt = now;
                logger.warn("upstreams.cut-off instance={}", id);
            }
            case REACHES_AGAIN ->
                    logger.info(
                            "upstreams.reached-again instance={} afterMs={}",
                            id,
                            (now - cutOffAt) / 1_000_000);
            case NONE -> {}
        }
    }
}
