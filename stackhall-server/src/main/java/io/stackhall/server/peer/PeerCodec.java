package io.stackhall.server.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.stackhall.rpc.generated.peer.Frame;
import java.util.List;

/** Puts frames behind a length on a connection, and takes the codec off again. */
public final class PeerCodec {

    private static final int MAX_FRAME_BYTES = 64 << 20;
    private static final int LENGTH_BYTES = 4;

    private static final List<Class<? extends ChannelHandler>> HANDLERS =
            List.of(
                    ProtobufEncoder.class,
                    ProtobufDecoder.class,
                    LengthFieldPrepender.class,
                    LengthFieldBasedFrameDecoder.class);

    private PeerCodec() {}

    /** Adds the codec behind the handlers of a pipeline. */
    public static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                new LengthFieldPrepender(LENGTH_BYTES),
                new ProtobufDecoder(Frame.getDefaultInstance()),
                new ProtobufEncoder());
    }

    /** Removes the codec, so that the connection carries bytes from now on. */
    public static void removeFrom(ChannelPipeline pipeline) {
        HANDLERS.forEach(pipeline::remove);
    }

    /** Removes the codec and all else that serves an accepted connection of a peer. */
    public static void removeAllFrom(ChannelPipeline pipeline) {
        while (pipeline.last() != null) {
            pipeline.removeLast();
        }
    }
}
