package io.stackhall.server.upstreams;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.ProtocolHandlers;
import org.eclipse.jetty.client.ProxyAuthenticationProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.WWWAuthenticationProtocolHandler;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP client towards upstreams. */
public final class UpstreamClient implements AutoCloseable {

    private static final int MAX_CONNECTIONS = 1024;
    private static final int MAX_QUEUED = 4096;
    private static final int BUFFER_BYTES = 4096;

    /** Each connection would keep 34 KiB for it. */
    private static final int NO_HEADER_CACHE = 0;

    private static final int THREADS = 16;
    private static final int RESERVED_THREADS = 0;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient client;
    private final Duration idle;
    private final AtomicLong attempts = new AtomicLong();

    private UpstreamClient(HttpClient client, Duration idle) {
        this.client = client;
        this.idle = idle;
    }

    /**
     * Starts a client.
     *
     * @param idle the longest pause within an answer
     */
    public static UpstreamClient start(Duration idle) {
        ClientConnector connector = new ResetAwareConnector();
        connector.setSelectors(1);
        connector.setConnectTimeout(CONNECT_TIMEOUT);
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        transport.setHeaderCacheSize(NO_HEADER_CACHE);
        HttpClient client = new HttpClient(transport);
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.setRequestBufferSize(BUFFER_BYTES);
        client.setResponseBufferSize(BUFFER_BYTES);
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setName("upstream-client");
        threads.setReservedThreads(RESERVED_THREADS);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        // A request that is broken off gives its buffer back while it may still be written.
        client.setByteBufferPool(new ByteBufferPool.NonPooling());
        client.getContentDecoderFactories().clear();
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot start the HTTP client", e);
        }
        ProtocolHandlers handlers = client.getProtocolHandlers();
        handlers.put(new InterimAnswers());
        // A refusal is passed on as it came, whether it asks for authentication or not.
        handlers.remove(WWWAuthenticationProtocolHandler.NAME);
        handlers.remove(ProxyAuthenticationProtocolHandler.NAME);
        return new UpstreamClient(client, idle);
    }

    /** Returns a call that is not sent yet. */
    public UpstreamCall call(String address, UpstreamRequest request) {
        return new UpstreamCall(
                client, address, request, attempts.incrementAndGet(), idle.toMillis());
    }

    /**
     * Returns a client for orders on the same threads.
     *
     * @param patience how long an answer is awaited before the order is sent again
     */
    public OrderClient orders(Duration patience) {
        return new OrderClient(client, patience);
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop the HTTP client", e);
        }
    }

    /**
     * Passes over all interim answers. The client's own handlers know three statuses, and one of
     * them once; it takes any other for the answer, which then ends before its body.
     */
    private static final class InterimAnswers extends ProcessingProtocolHandler {
        @Override
        public boolean accept(Request request, Response response) {
            return HttpStatus.isInterim(response.getStatus());
        }
    }
}
