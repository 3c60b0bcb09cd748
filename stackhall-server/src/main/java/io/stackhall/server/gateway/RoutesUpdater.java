package io.stackhall.server.gateway;

import io.netty.channel.EventLoop;
import io.stackhall.core.config.Finding;
import io.stackhall.core.route.RouteTable;
import io.stackhall.core.route.RoutesConfirmation;
import io.stackhall.platform.ConfigurationDecoder;
import io.stackhall.rpc.generated.fleet.RoutesUpdate;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.fleet.RoutesCodec;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Holds the newest configuration that an entry host has received from control hosts, and activates
 * its routes once a quorum has confirmed it or the wait for that has timed out. Not thread-safe:
 * confined to one event loop.
 */
final class RoutesUpdater {

    private static final Logger logger = LogManager.getLogger(RoutesUpdater.class);

    /**
     * Maximum wait for a quorum's confirmation. After it, unconfirmed routes from any control host
     * are better than none: a partitioned zone keeps serving.
     */
    private static final Duration UNCONFIRMED_WAIT = Duration.ofSeconds(4);

    /**
     * The primary sends routes within some milliseconds; routes have to be active within seconds.
     */
    private static final long ROUTES_TIMEOUT_MILLIS = 250;

    private final EventLoop loop;
    private final Gateway gateway;
    private final Runnable requestRoutes;
    private final RoutesConfirmation confirmation = new RoutesConfirmation(UNCONFIRMED_WAIT);
    private long confirmationAskedAt;
    private byte[] heldBody = new byte[0];
    private boolean awaitingRoutes;
    private boolean activationScheduled;

    /**
     * Creates an updater that holds no configuration.
     *
     * @param requestRoutes requests the complete newest configuration from some control host
     */
    RoutesUpdater(EventLoop loop, Gateway gateway, Runnable requestRoutes) {
        this.loop = loop;
        this.gateway = gateway;
        this.requestRoutes = requestRoutes;
    }

    /** Returns the version of the held configuration, negative if there is none. */
    long heldVersion() {
        return confirmation.held();
    }

    /** Returns whether no quorum has confirmed the newest version yet. */
    boolean wantsConfirmation() {
        return !confirmation.isConfirmed();
    }

    /** Handles an update from a control host. */
    void receive(RoutesUpdate update) {
        long now = BootClock.nanos();
        confirmation.reported(update.getVersion(), now);
        gateway.denials().setReported(confirmation.reported());
        if (update.getVersion() > confirmation.held()) {
            store(update, now);
        }
        if (update.getConfirmed()) {
            recordConfirmation(update, now);
        } else {
            scheduleActivation();
        }
        if (confirmation.lacksNewest()) {
            awaitRoutes();
        }
    }

    /** Activates the held configuration if it is confirmed or has waited long enough. */
    void activateIfAllowed() {
        activationScheduled = false;
        if (!confirmation.mayActivate(activeVersion(), BootClock.nanos())) {
            return;
        }
        logger.info(
                "routes.obeyed version={} heard={} confirmed={}",
                confirmation.held(),
                confirmation.reported(),
                confirmation.confirmed());
        Either<Finding, RouteTable> decoded = ConfigurationDecoder.decode(heldBody);
        decoded.peek(gateway::setRoutes)
                .peekLeft(
                        finding ->
                                logger.error(
                                        "routes.unreadable version={} {}",
                                        confirmation.held(),
                                        finding));
        reportConfirmation();
    }

    private void recordConfirmation(RoutesUpdate update, long now) {
        boolean first = !confirmation.isConfirmed();
        confirmation.confirmed(update.getVersion(), now);
        if (first) {
            logger.info(
                    "routes.confirmed version={} held={}",
                    update.getVersion(),
                    confirmation.held());
        }
        if (update.getVersion() >= confirmation.confirmed()) {
            confirmationAskedAt = update.getAskedAt();
        }
        activateIfAllowed();
        reportConfirmation();
    }

    private void reportConfirmation() {
        if (confirmation.isConfirmed() && activeVersion() >= confirmation.confirmed()) {
            gateway.customers().recordConfirmation(confirmationAskedAt);
            gateway.denials().confirmed(confirmationAskedAt);
        }
    }

    /**
     * Schedules the activation after the updates that have already arrived: of several
     * configurations in a row only the last is worth decoding, and on a slow host decoding takes
     * longer than the next one takes to arrive.
     */
    private void scheduleActivation() {
        if (!activationScheduled) {
            activationScheduled = true;
            loop.execute(this::activateIfAllowed);
        }
    }

    private long activeVersion() {
        return gateway.routesVersion();
    }

    private void store(RoutesUpdate update, long now) {
        if (!RoutesCodec.hasBody(update)) {
            return;
        }
        try {
            heldBody = RoutesCodec.body(update);
            confirmation.received(update.getVersion(), now);
        } catch (IOException e) {
            logger.error("routes.unreadable version={} {}", update.getVersion(), e.toString());
        }
    }

    private void awaitRoutes() {
        if (!awaitingRoutes) {
            awaitingRoutes = true;
            long awaited = confirmation.reported();
            loop.schedule(
                    () -> handleOverdue(awaited), ROUTES_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Requests the awaited version from any control host if the primary has not sent it in time,
     * and repeats that until one sends it. Versions reported since then get a timeout of their own:
     * when changes follow each other closely, an update is always on its way.
     */
    private void handleOverdue(long awaited) {
        awaitingRoutes = false;
        if (confirmation.held() < awaited) {
            logger.info("routes.overdue version={} held={}", awaited, confirmation.held());
            requestRoutes.run();
        }
        if (confirmation.lacksNewest()) {
            awaitRoutes();
        }
    }
}
