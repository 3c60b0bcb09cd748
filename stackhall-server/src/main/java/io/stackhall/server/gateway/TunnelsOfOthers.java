package io.stackhall.server.gateway;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import io.stackhall.core.fleet.Instance;
import io.stackhall.core.id.UpstreamId;
import io.stackhall.rpc.generated.fleet.TunnelReply.Result;
import io.stackhall.server.clock.BootClock;
import io.stackhall.server.relay.CallFailure.Stage;
import io.stackhall.server.relay.UpstreamClient;
import io.stackhall.server.settings.Address;
import io.stackhall.server.tunnel.AcceptingHost;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** What one entry host does for the tunnels of others. Used on its event loop. */
final class TunnelsOfOthers implements AcceptingHost {

    private static final Logger logger = LogManager.getLogger(TunnelsOfOthers.class);

    private final Gateway gateway;
    private final UpstreamClient upstreams;
    private final LoadShedding shedding;

    TunnelsOfOthers(Gateway gateway, UpstreamClient upstreams, LoadShedding shedding) {
        this.gateway = gateway;
        this.upstreams = upstreams;
        this.shedding = shedding;
    }

    @Override
    public Optional<Address> address(UpstreamId id) {
        return gateway.dispatcher().find(id).map(Instance::address).map(Address::parse);
    }

    @Override
    public boolean isDeclining() {
        return gateway.paths().isCutOff()
                || gateway.connections().isDraining()
                || shedding.isActive(BootClock.nanos());
    }

    @Override
    public Future<Channel> connect(Address address) {
        return upstreams.connect(address);
    }

    @Override
    public void heard(UpstreamId id, long openedAt) {
        gateway.paths().heard(id, openedAt);
    }

    @Override
    public void brokenOff(UpstreamId id) {
        gateway.paths().failed(id, Stage.SENT);
    }

    @Override
    public boolean isAtFault(UpstreamId id) {
        return gateway.dispatcher()
                .find(id)
                .filter(gateway.pathProber().ownLinks()::areToBlame)
                .isPresent();
    }

    @Override
    public void notConnected(UpstreamId id, boolean refused, Consumer<Result> judgement) {
        Stage stage = refused ? Stage.REFUSED : Stage.NO_CONNECTION;
        Optional<Instance> instance = gateway.dispatcher().find(id);
        if (instance.isEmpty()) {
            judgement.accept(Result.NOT_REACHED);
            return;
        }
        gateway.pathProber()
                .ownLinks()
                .checkUpstreamIsToBlame(
                        instance.get(),
                        stage,
                        toBlame -> {
                            Result result = toBlame ? of(stage) : Result.NOT_REACHED;
                            log(id, result);
                            judgement.accept(result);
                        });
        gateway.paths().failed(id, stage);
    }

    private static Result of(Stage stage) {
        return stage == Stage.REFUSED ? Result.REFUSED : Result.NO_CONNECTION;
    }

    private void log(UpstreamId id, Result result) {
        logger.info(
                "tunnel.not-connected instance={} result={} brokenPaths={} instances={}",
                id,
                result,
                gateway.paths().brokenCount(),
                gateway.dispatcher().instances().size());
    }
}
