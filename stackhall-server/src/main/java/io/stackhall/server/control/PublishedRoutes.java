package io.stackhall.server.control;

import com.google.protobuf.ByteString;
import io.stackhall.core.id.ServiceName;
import io.stackhall.core.route.RouteTable;
import io.stackhall.core.route.ServiceEntry;
import io.stackhall.platform.ConfigurationDecoder;
import io.stackhall.rpc.generated.fleet.ControlSnapshot;
import io.stackhall.rpc.generated.fleet.FleetFollow;
import io.stackhall.rpc.generated.fleet.RoutesUpdate;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.fleet.RoutesCodec;
import io.stackhall.server.peer.Replier;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The newest committed configuration on a control host, which it pushes to the entry hosts that
 * follow this host. Confined to one event loop.
 */
final class PublishedRoutes {

    private static final Logger logger = LogManager.getLogger(PublishedRoutes.class);

    private final EntryFollowers followers;
    private ByteString packed = ByteString.EMPTY;
    private ControlSnapshot routes = ControlSnapshot.newBuilder().setVersion(-1).build();
    private Optional<RouteTable> table = Optional.empty();
    private Set<ServiceName> services = Set.of();

    PublishedRoutes(EntryFollowers followers) {
        this.followers = followers;
    }

    /** Returns the version, negative if there is no configuration. */
    long version() {
        return routes.getVersion();
    }

    /** Returns the newest configuration that could be decoded. */
    Optional<RouteTable> table() {
        return table;
    }

    /** Returns whether a service is configured, or none is known to be. */
    boolean mayServe(ServiceName service) {
        return services.isEmpty() || services.contains(service);
    }

    /**
     * Applies a committed configuration, and pushes it to entry hosts, if it is newer.
     *
     * @return whether it was newer
     */
    boolean apply(ControlSnapshot next) {
        if (next.getVersion() <= routes.getVersion()) {
            return false;
        }
        logger.info(
                "routes.told version={} was={} followers={}",
                next.getVersion(),
                routes.getVersion(),
                followers.count());
        routes = next;
        decode();
        packed = RoutesCodec.compress(routes.getBody());
        followers.sendToPrimaries(frame(fullRoutes()));
        followers.sendToOthers(frame(versionOnly()));
        return true;
    }

    /** Sends an entry host the routes if it holds older ones. */
    void handleFollow(FleetFollow follow, Replier replier) {
        if (follow.getRoutesVersion() < routes.getVersion()) {
            replier.send(routesFor(follow));
        }
    }

    /** Sends an entry host the routes that a quorum has just confirmed. */
    void sendConfirmation(RoutesConfirmationService.ConfirmationRequest request) {
        FleetFollow follow = request.follow();
        boolean outdated = follow.getRoutesVersion() < routes.getVersion();
        RoutesUpdate.Builder update = outdated && wantsBody(follow) ? fullRoutes() : versionOnly();
        request.replier().send(frame(update.setConfirmed(true).setAskedAt(follow.getAskedAt())));
    }

    /**
     * Only the primary sends an entry host the full configuration; other control hosts send its
     * version. Sent by each of six control hosts, a configuration of 30 KB would take 16 MB to
     * reach 89 entry hosts (calculated).
     */
    private Frame routesFor(FleetFollow follow) {
        return frame(wantsBody(follow) ? fullRoutes() : versionOnly());
    }

    private static boolean wantsBody(FleetFollow follow) {
        return follow.getPrimary() || follow.getWantsRoutes();
    }

    private void decode() {
        ConfigurationDecoder.decode(routes.getBody().toByteArray())
                .peek(this::setTable)
                .peekLeft(
                        finding ->
                                logger.error(
                                        "routes.unreadable version={} {}",
                                        routes.getVersion(),
                                        finding));
    }

    private void setTable(RouteTable next) {
        table = Optional.of(next);
        services = next.services().stream().map(ServiceEntry::name).collect(Collectors.toSet());
    }

    private RoutesUpdate.Builder fullRoutes() {
        return versionOnly().setPackedBody(packed);
    }

    private RoutesUpdate.Builder versionOnly() {
        return RoutesUpdate.newBuilder().setVersion(routes.getVersion());
    }

    private static Frame frame(RoutesUpdate.Builder update) {
        return Frame.newBuilder().setRoutes(update).build();
    }
}
