package io.stackhall.server.callers;

import io.stackhall.server.group.GroupClient;
import io.stackhall.server.metrics.NodeMetrics;
import io.stackhall.server.node.ConfigStore;
import io.stackhall.server.node.TrafficDriver;
import io.stackhall.server.node.UpstreamExchange;
import io.stackhall.server.settings.Address;
import io.stackhall.server.settings.Settings;
import io.stackhall.server.upstreams.UpstreamClient;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server, with one connector for callers and one for upstreams. */
public final class CallerServer implements AutoCloseable {

    /** The name of the connector for upstreams. */
    static final String UPSTREAM_CONNECTOR = "upstreams";

    private static final String CALLER_CONNECTOR = "callers";
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int BUFFER_BYTES = 4096;

    /** Disables the header cache, which would take 34 KiB for each connection. */
    private static final int NO_HEADER_CACHE = 0;

    private static final int MAX_CONNECTIONS = 4096;
    private static final int IDLE_MILLIS = 60_000;
    private static final int THREADS = 16;
    private static final int ACCEPT_QUEUE = 1024;

    private final Server server;
    private final WorkRunner workRunner;

    /** Creates a server that is not listening yet. */
    public CallerServer(
            Settings settings,
            ConfigStore config,
            UpstreamExchange exchange,
            TrafficDriver traffic,
            UpstreamClient upstreams,
            GroupClient groups,
            NodeMetrics metrics,
            long process,
            BooleanSupplier ready) {
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setName("http");
        threads.setReservedThreads(0);
        threads.setVirtualThreadsExecutor(
                Executors.newThreadPerTaskExecutor(
                        Thread.ofVirtual().name("request-", 0).factory()));
        server = new Server(threads);
        server.addBean(new NetworkConnectionLimit(MAX_CONNECTIONS, server));
        server.addConnector(connector(CALLER_CONNECTOR, settings.callers()));
        server.addConnector(connector(UPSTREAM_CONNECTOR, settings.upstreams()));
        RequestRunner runner =
                new RequestRunner(
                        settings, traffic, upstreams, new ClaimClient(settings, groups, process));
        workRunner = new WorkRunner(settings, config, groups, runner, process);
        server.setHandler(
                new ApiHandler(
                        config,
                        exchange,
                        metrics,
                        new RequestReader(settings.limits()),
                        runner,
                        new WorkHandler(groups),
                        new InFlightLimit(traffic.inFlight(), settings.limits().maxInFlight()),
                        ready));
    }

    /**
     * Starts to listen, and to run deferred work.
     *
     * @throws IllegalStateException if an address cannot be bound
     */
    public void start() {
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot listen for callers: " + e.getMessage(), e);
        }
        workRunner.start();
    }

    /** Stops taking deferred work; work that is running continues. */
    public void stopTakingWork() {
        workRunner.close();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop the HTTP server", e);
        }
    }

    private ServerConnector connector(String name, Address address) {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setRequestHeaderSize(MAX_HEADER_BYTES);
        http.setHeaderCacheSize(NO_HEADER_CACHE);
        http.setOutputBufferSize(BUFFER_BYTES);
        http.setOutputAggregationSize(BUFFER_BYTES / 4);
        http.setUseInputDirectByteBuffers(false);
        http.setUseOutputDirectByteBuffers(false);
        HttpConnectionFactory factory = new HttpConnectionFactory(http);
        factory.setInputBufferSize(BUFFER_BYTES);
        ServerConnector connector = new ServerConnector(server, 1, 1, factory);
        connector.setName(name);
        connector.setHost(address.socket().getAddress().getHostAddress());
        connector.setPort(address.port());
        connector.setIdleTimeout(IDLE_MILLIS);
        connector.setReuseAddress(true);
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        return connector;
    }
}
