package io.stackhall.server.fleet;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.stackhall.server.settings.Address;
import java.util.function.Function;

/** A minimal HTTP server for short requests about the process: its readiness and metrics. */
public final class SimpleHttpServer {

    private static final int MAX_REQUEST_BYTES = 4096;

    private SimpleHttpServer() {}

    /** A response with its status code and body. */
    public record Response(int status, byte[] body) {}

    /**
     * Starts the server.
     *
     * @param handler returns the response to a request from its URI
     * @throws io.netty.channel.ChannelException if the address cannot be bound
     */
    public static Channel listen(
            EventLoopGroup threads, Address address, Function<String, Response> handler) {
        return new ServerBootstrap()
                .group(threads)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpServerCodec(),
                                                new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                                new Handler(handler));
                            }
                        })
                .bind(address.socket())
                .syncUninterruptibly()
                .channel();
    }

    /** Responds to the requests of one connection. */
    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<String, Response> handler;

        Handler(Function<String, Response> handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Response content = handler.apply(request.uri());
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(content.status()),
                            Unpooled.wrappedBuffer(content.body()));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.body().length);
            if (HttpUtil.isKeepAlive(request)) {
                context.writeAndFlush(response);
            } else {
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }
    }
}
