package io.stackhall.server.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;

/** Sets up the pipeline of a caller's connection. */
final class CallerChannelInitializer extends ChannelInitializer<SocketChannel> {

    private final Gateway gateway;
    private final Runnable onConnected;

    CallerChannelInitializer(Gateway gateway, Runnable onConnected) {
        this.gateway = gateway;
        this.onConnected = onConnected;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        if (gateway.closesNextConnection()) {
            channel.close();
            return;
        }
        onConnected.run();
        channel.config().setTcpNoDelay(true);
        ResponseEncoder encoder = new ResponseEncoder();
        CallerConnection connection = new CallerConnection(gateway, encoder);
        channel.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext context, Object bytes) {
                                connection.bytesReceived();
                                context.fireChannelRead(bytes);
                            }
                        },
                        new RequestDecoder(() -> gateway.callerLimits().maxHeaderBytes()),
                        encoder,
                        connection);
    }
}
