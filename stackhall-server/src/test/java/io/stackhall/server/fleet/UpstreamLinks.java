package io.stackhall.server.fleet;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The links of entry hosts to upstreams, on which a test has new connections fail, and of hosts to
 * control hosts, which a test cuts: what is sent is dropped while connections seem to stand.
 */
public final class UpstreamLinks implements AutoCloseable {

    private static final int PROBE_MILLIS = 100;

    private final Map<Link, Failure> failures = new ConcurrentHashMap<>();
    private final Set<Set<String>> cuts = ConcurrentHashMap.newKeySet();
    private final Set<Channel> lossy = ConcurrentHashMap.newKeySet();
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

    /** Has everything between two addresses be lost from now on, in both directions. */
    public void cut(String one, String other) {
        if (blackHole == null) {
            openBlackHole();
        }
        cuts.add(Set.of(one, other));
    }

    /** Has all links work again. Connections that have lost something are closed. */
    public void heal() {
        failures.clear();
        cuts.clear();
        lossy.forEach(Channel::close);
        lossy.clear();
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

    private boolean isCut(String source, SocketAddress remote) {
        String reached = remote instanceof InetSocketAddress at ? at.getHostString() : "";
        return !source.equals(reached) && cuts.contains(Set.of(source, reached));
    }

    /** Drops what is sent and received on links that are cut. */
    private final class Loss extends ChannelDuplexHandler {
        private final String source;

        Loss(String source) {
            this.source = source;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!drops(context, message)) {
                context.fireChannelRead(message);
            }
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (drops(context, message)) {
                promise.trySuccess();
            } else {
                context.write(message, promise);
            }
        }

        private boolean drops(ChannelHandlerContext context, Object message) {
            SocketAddress remote = context.channel().remoteAddress();
            if (remote == null || !isCut(source, remote)) {
                return false;
            }
            lossy.add(context.channel());
            ReferenceCountUtil.release(message);
            return true;
        }
    }

    private final class LinkChannel extends NioSocketChannel {
        private final int host;
        private final InetSocketAddress source;

        LinkChannel(int host, InetSocketAddress source) {
            this.host = host;
            this.source = source;
            pipeline().addFirst(new Loss(source.getHostString()));
        }

        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            Failure failure = failures.get(new Link(host, ((InetSocketAddress) remote).getPort()));
            if (failure == Failure.REFUSED) {
                throw new ConnectException("Connection refused");
            }
            boolean silent = failure == Failure.SILENT || isCut(source.getHostString(), remote);
            SocketAddress reached = silent ? blackHole.getLocalSocketAddress() : remote;
            return super.doConnect(reached, source);
        }
    }
}
