package io.stackhall.server.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.server.settings.Address;
import java.util.concurrent.TimeUnit;

/** The connection that this host opens to another, opened again whenever it is lost. */
final class PeerLink {

    private static final int RETRY_MILLIS = 200;

    private final Address address;
    private final Runnable onConnected;
    private final Bootstrap bootstrap;
    private final EventLoopGroup group;
    private volatile Channel channel;
    private volatile boolean closed;

    PeerLink(
            Address address,
            EventLoopGroup group,
            ChannelFactory<NioSocketChannel> channels,
            PeerTiming timing,
            FrameHandler handler,
            Runnable onConnected) {
        this.address = address;
        this.onConnected = onConnected;
        this.group = group;
        this.bootstrap =
                new Bootstrap()
                        .group(group)
                        .channelFactory(channels)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                Math.toIntExact(timing.connect().toMillis()))
                        .handler(new PeerPipeline(timing, () -> new PeerChannelHandler(handler)));
    }

    void connect() {
        if (!closed) {
            bootstrap.connect(address.socket()).addListener(this::connected);
        }
    }

    /** Sends a frame if the connection is up and takes it; otherwise the frame is lost. */
    boolean send(Frame frame) {
        Channel current = channel;
        if (current == null || !current.isActive() || !current.isWritable()) {
            return false;
        }
        current.writeAndFlush(frame, current.voidPromise());
        return true;
    }

    boolean connected() {
        Channel current = channel;
        return current != null && current.isActive();
    }

    void close() {
        closed = true;
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }

    private void connected(Future<? super Void> future) {
        if (!future.isSuccess()) {
            reconnectLater();
            return;
        }
        channel = ((ChannelFuture) future).channel();
        channel.closeFuture().addListener(ignored -> reconnectLater());
        if (closed) {
            channel.close();
            return;
        }
        onConnected.run();
    }

    private void reconnectLater() {
        channel = null;
        if (!closed && !group.isShuttingDown()) {
            group.schedule(this::connect, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
