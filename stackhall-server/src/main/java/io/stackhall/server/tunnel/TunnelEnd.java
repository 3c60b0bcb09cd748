package io.stackhall.server.tunnel;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Passes the bytes of one connection on to another. If the peer ends its side in good order, the
 * other connection ends likewise; any other end resets it, one by this host as well: an answer that
 * is cut short must not look whole. A slow reader on one side stops the reading on the other.
 *
 * <p>Connections must allow half closure, by which the peer's end is told from any other.
 */
final class TunnelEnd extends ChannelInboundHandlerAdapter {

    private final Channel other;
    private final Runnable onBytes;
    private boolean endedByPeer;

    /**
     * Creates the end of a connection.
     *
     * @param onBytes run when bytes have come
     */
    TunnelEnd(Channel other, Runnable onBytes) {
        this.other = other;
        this.onBytes = onBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        onBytes.run();
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
