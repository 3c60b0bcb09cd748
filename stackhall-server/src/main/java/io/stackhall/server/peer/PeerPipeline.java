package io.stackhall.server.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Exchanges frames with a peer, and closes a connection on which nothing comes. */
final class PeerPipeline extends ChannelInitializer<SocketChannel> {

    private final PeerTiming timing;
    private final Supplier<ChannelHandler> handler;

    PeerPipeline(PeerTiming timing, Supplier<ChannelHandler> handler) {
        this.timing = timing;
        this.handler = handler;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.config().setTcpNoDelay(true);
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(
                                timing.silence().toMillis(),
                                timing.ping().toMillis(),
                                0,
                                TimeUnit.MILLISECONDS));
        PeerCodec.addTo(channel.pipeline());
        channel.pipeline().addLast(handler.get());
    }
}
