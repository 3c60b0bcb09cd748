package io.stackhall.server.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.stackhall.rpc.generated.peer.Frame;
import io.stackhall.rpc.generated.peer.Ping;
import io.stackhall.rpc.generated.peer.Pong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** One end of a connection: answers pings, sends them when idle, hands everything else on. */
final class PeerChannelHandler extends SimpleChannelInboundHandler<Frame> {

    private static final Logger logger = LogManager.getLogger(PeerChannelHandler.class);

    private final FrameHandler handler;
    private final TunnelListener tunnels;

    /** Creates the handler of a connection that carries no tunnels. */
    PeerChannelHandler(FrameHandler handler) {
        this(handler, (request, channel) -> channel.close());
    }

    /** Creates the handler of a connection that may become a tunnel. */
    PeerChannelHandler(FrameHandler handler, TunnelListener tunnels) {
        this.handler = handler;
        this.tunnels = tunnels;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        switch (frame.getBodyCase()) {
            case PING ->
                    context.writeAndFlush(
                            Frame.newBuilder().setPong(Pong.getDefaultInstance()).build());
            case PONG -> {
                // That it came is all that counts.
            }
            case OPEN_TUNNEL -> tunnels.accept(frame.getOpenTunnel(), context.channel());
            default -> handler.received(frame, context.channel()::writeAndFlush);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle) {
            if (idle.state() == IdleState.READER_IDLE) {
                context.close();
            } else {
                context.writeAndFlush(
                        Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logger.debug("peer.connection.failed {}", cause.toString());
        context.close();
    }
}
