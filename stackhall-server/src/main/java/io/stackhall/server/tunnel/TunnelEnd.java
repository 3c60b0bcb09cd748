package io.stackhall.server.tunnel;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;

/**
 * Passes the bytes of one connection on to another. If the peer ends its side in good order, the
 * other connection ends likewise; any other end resets it, one by this host as well: an answer that
 * is cut short must not look whole. A slow reader on one side stops the reading on the other.
 *
 * <p>Connections must allow half closure, by which the peer's end is told from any other.
 */
final class TunnelEnd extends ChannelInboundHandlerAdapter {

    private final Channel other;
    private final Listener listener;
    private boolean endedByPeer;
    private boolean received;

    /** Hears what comes on the connection. */
    interface Listener {
        /** Hears nothing of it. */
        Listener NONE =
                new Listener() {
                    @Override
                    public void received() {
                        // Nobody wants to know.
                    }

                    @Override
                    public void resetBeforeBytes() {
                        // Nobody wants to know.
                    }
                };

        /** Called when bytes have come. */
        void received();

        /** Called when the peer has reset the connection before any byte had come. */
        void resetBeforeBytes();
    }

    TunnelEnd(Channel other, Listener listener) {
        this.other = other;
        this.listener = listener;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        received = true;
        listener.received();
        other.writeAndFlush(bytes);
        if (!other.isWritable()) {
            context.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        other.config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            endedByPeer = true;
            // In frames, an empty buffer tells the other host of the end.
            other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!endedByPeer) {
            resetOther();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!received && cause instanceof IOException) {
            listener.resetBeforeBytes();
        }
        resetOther();
        context.close();
    }

    private void resetOther() {
        if (other.isActive()) {
            other.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        other.close();
    }
}
