package io.stackhall.server.operators;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.stackhall.core.id.ZoneId;
import io.stackhall.server.group.GroupClient;
import io.stackhall.server.group.GroupHost;
import io.stackhall.server.metrics.NodeMetrics;
import io.stackhall.server.node.ConfigExchange;
import io.stackhall.server.node.ConfigStore;
import io.stackhall.server.node.PlacementDriver;
import io.stackhall.server.node.UpstreamExchange;
import io.stackhall.server.settings.Address;
import io.stackhall.server.settings.Settings;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Executors;

/** The gRPC server for operators. */
public final class OperatorServer implements AutoCloseable {

    private static final int MAX_MESSAGE_BYTES = 16 << 20;

    private final Address address;
    private final Server server;

    /** Creates a server that does not listen yet. */
    public OperatorServer(
            Address address,
            Settings settings,
            GroupClient client,
            Map<String, GroupHost> groups,
            ConfigStore config,
            ConfigExchange exchange,
            UpstreamExchange upstreams,
            NodeMetrics metrics,
            Map<ZoneId, PlacementDriver> placement) {
        this.address = address;
        OperatorService service =
                new OperatorService(
                        client,
                        new StatusReporter(settings, groups, config, exchange, upstreams),
                        new MeasuresReporter(settings, metrics, placement, upstreams));
        this.server =
                NettyServerBuilder.forAddress(address.socket())
                        .executor(Executors.newVirtualThreadPerTaskExecutor())
                        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                        .addService(service)
                        .build();
    }

    /**
     * Starts to listen.
     *
     * @throws IOException if the address cannot be bound
     */
    public void start() throws IOException {
        try {
            server.start();
        } catch (IOException e) {
            throw new IOException("cannot listen for operators on " + address, e);
        }
    }

    @Override
    public void close() {
        server.shutdownNow();
    }
}
