package io.stackhall.server.control;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.function.Supplier;

/** Sets up the connections on which operators and upstreams call a control host. */
final class ControlChannelInitializer extends ChannelInitializer<SocketChannel> {

    /** Several times the size of a configuration with 10,000 routes of 300 bytes each. */
    private static final int MAX_REQUEST_BYTES = 16 << 20;

    private static final int IDLE_SECONDS = 60;

    private final Supplier<ChannelHandler> api;

    /**
     * Creates an initializer.
     *
     * @param api creates the handler of the calls of one connection
     */
    ControlChannelInitializer(Supplier<ChannelHandler> api) {
        this.api = api;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.config().setTcpNoDelay(true);
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(0, 0, IDLE_SECONDS),
                        new HttpServerCodec(),
                        new CallAggregator(MAX_REQUEST_BYTES),
                        new CallSequencer(),
                        api.get());
    }
}
