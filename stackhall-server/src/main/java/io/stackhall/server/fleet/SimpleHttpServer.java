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

/** Answers short calls that concern the process itself: whether it is ready, and its metrics. */
public final class SimpleHttpServer {

    private static final int MAX_REQUEST_BYTES = 4096;

    private SimpleHttpServer() {}

    /** An answer: its status and body. */
    public record Response(int status, byte[] body) {}

    /**
     * Starts to answer.
     *
     * @param answers the answer to a call by its path
     * @throws io.netty.channel.ChannelException if the address cannot be bound
     */
    public static Channel listen(
            EventLoopGroup threads, Address address, Function<String, Response> answers) {
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
                                                new Handler(answers));
                            }
                        })
                .bind(address.socket())
                .syncUninterruptibly()
                .channel();
    }

    /** Answers the calls of one connection. */
    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<String, Response> answers;

        Handler(Function<String, Response> answers) {
            this.answers = answers;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Response answer = answers.apply(request.uri());
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(answer.status()),
                            Unpooled.wrappedBuffer(answer.body()));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
            if (HttpUtil.isKeepAlive(request)) {
                context.writeAndFlush(response);
            } else {
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }
    }
}
