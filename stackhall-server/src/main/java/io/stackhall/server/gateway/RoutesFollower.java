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
final class RoutesFollower {

    private static final Logger logger = LogManager.getLogger(RoutesFollower.class);

    /**
     * After this long without a quorum's word, routes that any control host holds are better than
     * none: a zone that is cut off goes on serving.
     */
    private static final Duration PATIENCE = Duration.ofSeconds(4);

    /** The primary tells within some milliseconds; routes have to be in force within seconds. */
    private static final long OVERDUE_MILLIS = 250;

    private final EventLoop loop;
    private final Gateway gateway;
    private final Runnable askForRoutes;
    private final RoutesConfirmation trust = new RoutesConfirmation(PATIENCE);
    private byte[] body = new byte[0];
    private boolean awaiting;
    private boolean obeying;

    /**
     * Creates one that holds no configuration.
     *
     * @param askForRoutes asks some control host for the whole of the newest configuration
     */
    RoutesFollower(EventLoop loop, Gateway gateway, Runnable askForRoutes) {
        this.loop = loop;
        this.gateway = gateway;
        this.askForRoutes = askForRoutes;
    }

    /** Returns the version that this host holds, negative where there is none. */
    long held() {
        return trust.held();
    }

    /** Returns whether a quorum has yet to name the newest configuration. */
    boolean wantsConfirmation() {
        return !trust.isConfirmed();
    }

    /** Takes in what a control host tells. */
    void told(RoutesUpdate update) {
        long now = BootClock.nanos();
        trust.reported(update.getVersion(), now);
        if (update.getVersion() > trust.held()) {
            take(update, now);
        }
        if (update.getConfirmed()) {
            confirmed(update, now);
        } else {
            obeySoon();
        }
        if (trust.lacksNewest()) {
            expectRoutes();
        }
    }

    /** Puts the configuration that is held into force if it may be obeyed by now. */
    void obey() {
        obeying = false;
        if (!trust.mayActivate(inForce(), BootClock.nanos())) {
            return;
        }
        logger.info(
                "routes.obeyed version={} heard={} confirmed={}",
                trust.held(),
                trust.reported(),
                trust.confirmed());
        Either<Finding, RouteTable> decoded = ConfigurationDecoder.decode(body);
        decoded.peek(gateway::setRoutes)
                .peekLeft(
                        finding ->
                                logger.error(
                                        "routes.unreadable version={} {}", trust.held(), finding));
    }

    private void confirmed(RoutesUpdate update, long now) {
        boolean first = !trust.isConfirmed();
        trust.confirmed(update.getVersion(), now);
        if (first) {
            logger.info("routes.confirmed version={} held={}", update.getVersion(), trust.held());
        }
        obey();
        if (inForce() >= update.getVersion()) {
            gateway.customers().confirmed(update.getAskedAt());
        }
    }

    /**
     * Looks once what has arrived by now is taken in: of several configurations in a row only the
     * last is worth decoding, which takes a slow host longer than the next one takes to come.
     */
    private void obeySoon() {
        if (!obeying) {
            obeying = true;
            loop.execute(this::obey);
        }
    }

    private long inForce() {
        return gateway.hasRoutes() ? gateway.routes().version() : -1;
    }

    private void take(RoutesUpdate update, long now) {
        if (update.getBody().isEmpty() && update.getPackedBody().isEmpty()) {
            return;
        }
        try {
            body = RoutesCodec.body(update);
            trust.received(update.getVersion(), now);
        } catch (IOException e) {
            logger.error("routes.unreadable version={} {}", update.getVersion(), e.toString());
        }
    }

    private void expectRoutes() {
        if (!awaiting) {
            awaiting = true;
            long awaited = trust.reported();
            loop.schedule(() -> overdue(awaited), OVERDUE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * What the primary does not tell soon is asked of any control host, until one tells it. What
     * was heard of since then has its own time: where changes follow each other closely, something
     * is always on its way.
     */
    private void overdue(long awaited) {
        awaiting = false;
        if (trust.held() < awaited) {
            logger.info("routes.overdue version={} held={}", awaited, trust.held());
            askForRoutes.run();
        }
        if (trust.lacksNewest()) {
            expectRoutes();
        }
    }
}
