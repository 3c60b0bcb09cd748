package io.stackhall.server.fleet;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The links of entry hosts to upstreams, on which a test has new connections fail. */
public final class UpstreamLinks implements AutoCloseable {

    private static final int PROBE_MILLIS = 100;

    private final Map<Link, Failure> failures = new ConcurrentHashMap<>();
    private final List<Socket> queued = new ArrayList<>();
    private volatile ServerSocket blackHole;

    /** How new connections fail. */
    public enum Failure {
        /** Opening packets are answered with a reset. */
        REFUSED,
        /** Opening packets are answered with nothing. */
        SILENT,
        /** Connections come up, and carry nothing: it is for the upstream to answer nothing. */
        MUTE
    }

    private record Link(int host, int upstreamPort) {}

    /** Has new connections from a host to an upstream fail from now on. */
    public void fail(int host, ScriptedUpstream upstream, Failure failure) {
        if (blackHole == null) {
            openBlackHole();
        }
        failures.put(new Link(host, upstream.port()), failure);
    }

    /** Has all links work again. */
    public void heal() {
        failures.clear();
    }

    /** Returns whether new connections from a host to an upstream fail. */
    public boolean isCut(int host, int upstreamPort) {
        return failures.containsKey(new Link(host, upstreamPort));
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : queued) {
            socket.close();
        }
        if (blackHole != null) {
            blackHole.close();
        }
    }

    /** Creates a socket of a host, which is to connect to an upstream from the host's address. */
    NioSocketChannel openChannel(int host, String ip) {
        return new LinkChannel(host, new InetSocketAddress(ip, 0));
    }

    /** Opens a listener whose queue is full, so that it drops opening packets. */
    private void openBlackHole() {
        try {
            blackHole = new ServerSocket();
            blackHole.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1);
            while (connects()) {
                // The queue has room left.
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private boolean connects() throws IOException {
        Socket socket = new Socket();
        queued.add(socket);
        try {
            socket.connect(blackHole.getLocalSocketAddress(), PROBE_MILLIS);
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    private final class LinkChannel extends NioSocketChannel {
        private final int host;
        private final SocketAddress source;

        LinkChannel(int host, SocketAddress source) {
            this.host = host;
            this.source = source;
        }

        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            Failure failure = failures.get(new Link(host, ((InetSocketAddress) remote).getPort()));
            if (failure == Failure.REFUSED) {
                throw new ConnectException("Connection refused");
            }
            SocketAddress reached =
                    failure == Failure.SILENT ? blackHole.getLocalSocketAddress() : remote;
            return super.doConnect(reached, source);
        }
    }
}
