package io.stackhall.server.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Puts frames behind a length, and closes a connection on which nothing comes. */
final class PeerPipeline extends ChannelInitializer<SocketChannel> {

    static final int MAX_FRAME_BYTES = 64 << 20;

    private static final int LENGTH_BYTES = 4;

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
                                TimeUnit.MILLISECONDS),
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        new LengthFieldPrepender(LENGTH_BYTES),
                        new ProtobufDecoder(Frame.getDefaultInstance()),
                        new ProtobufEncoder(),
                        handler.get());
    }
}
