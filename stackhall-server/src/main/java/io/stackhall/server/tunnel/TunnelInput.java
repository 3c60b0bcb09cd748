package io.stackhall.server.tunnel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * Takes an upstream's bytes out of the frames of a tunnel. A frame without bytes is handed on as
 * the orderly end of the upstream's side; a tunnel that ends without one has been cut short.
 */
final class TunnelInput extends LengthFieldBasedFrameDecoder {

    private static final int LENGTH_BYTES = 4;

    /** A frame holds what one read of a connection brings, which is far less. */
    private static final int MAX_FRAME_BYTES = 1 << 20;

    TunnelInput() {
        super(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** Returns the handler of the other end, which sends each buffer as a frame. */
    static ChannelHandler encoder() {
        return new LengthFieldPrepender(LENGTH_BYTES);
    }

    @Override
    protected Object decode(ChannelHandlerContext context, ByteBuf in) throws Exception {
        Object frame = super.decode(context, in);
        if (frame instanceof ByteBuf bytes && !bytes.isReadable()) {
            bytes.release();
            context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            return null;
        }
        return frame;
    }
}
