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
 * Keeps the newest configuration that control hosts have told an entry host, and puts it into force
 * once it may be obeyed. Used on one event loop.
 */
final class RoutesUpdater {

    private static final Logger logger = LogManager.getLogger(RoutesUpdater.class);

    /**
     * After this long without a quorum's word, routes that any control host holds are better than
     * none: a zone that is cut off goes on serving.
     */
    private static final Duration UNCONFIRMED_WAIT = Duration.ofSeconds(4);

    /** The primary tells within some milliseconds; routes have to be in force within seconds. */
    private static final long ROUTES_TIMEOUT_MILLIS = 250;

    private final EventLoop loop;
    private final Gateway gateway;
    private final Runnable requestRoutes;
    private final RoutesConfirmation confirmation = new RoutesConfirmation(UNCONFIRMED_WAIT);
    private byte[] heldBody = new byte[0];
    private boolean awaitingRoutes;
    private boolean activationScheduled;

    /**
     * Creates one that holds no configuration.
     *
     * @param askForRoutes asks some control host for the whole of the newest configuration
     */
    RoutesUpdater(EventLoop loop, Gateway gateway, Runnable askForRoutes) {
        this.loop = loop;
        this.gateway = gateway;
        this.requestRoutes = askForRoutes;
    }

    /** Returns the version that this host holds, negative where there is none. */
    long heldVersion() {
        return confirmation.held();
    }

    /** Returns whether a quorum has yet to name the newest configuration. */
    boolean wantsConfirmation() {
        return !confirmation.isConfirmed();
    }

    /** Takes in what a control host tells. */
    void receive(RoutesUpdate update) {
        long now = BootClock.nanos();
        confirmation.reported(update.getVersion(), now);
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

    /** Puts the configuration that is held into force if it may be obeyed by now. */
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
        decoded.peek(gateway::routes)
                .peekLeft(
                        finding ->
                                logger.error(
                                        "routes.unreadable version={} {}",
                                        confirmation.held(),
                                        finding));
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
        activateIfAllowed();
        if (activeVersion() >= update.getVersion()) {
            gateway.customers().recordConfirmation(update.getAskedAt());
        }
    }

    /**
     * Looks once what has arrived by now is taken in: of several configurations in a row only the
     * last is worth decoding, which takes a slow host longer than the next one takes to come.
     */
    private void scheduleActivation() {
        if (!activationScheduled) {
            activationScheduled = true;
            loop.execute(this::activateIfAllowed);
        }
    }

    private long activeVersion() {
        return gateway.knowsRoutes() ? gateway.routes().version() : -1;
    }

    private void store(RoutesUpdate update, long now) {
        if (update.getBody().isEmpty() && update.getPackedBody().isEmpty()) {
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
     * What the primary does not tell soon is asked of any control host, until one tells it. What
     * was heard of since then has its own time: where changes follow each other closely, something
     * is always on its way.
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
