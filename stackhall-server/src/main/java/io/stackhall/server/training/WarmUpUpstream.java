package io.stackhall.server.training;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.stackhall.platform.Headers;
import io.stackhall.platform.TrainingMessages;
import java.nio.charset.StandardCharsets;

/** The upstream of a warm-up: answers each request with some events or a plain body. */
final class WarmUpUpstream extends ChannelInitializer<SocketChannel> {

    private static final String LOAD = "1,0,8,100";
    private static final byte[] BODY = "x".repeat(200).getBytes(StandardCharsets.US_ASCII);
    private static final int EVENTS = 4;

    /** Requests on one connection, so that new connections are part of the warm-up. */
    private static final int REQUESTS_PER_CONNECTION = 4;

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(new HttpRequestDecoder(), new HttpResponseEncoder(), new Answering());
    }

    /** Answers the requests of one connection. */
    private static final class Answering extends SimpleChannelInboundHandler<HttpObject> {

        private HttpRequest request;
        private int answered;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpRequest head) {
                request = head;
            }
            if (message instanceof LastHttpContent) {
                answer(context);
            }
        }

        private void answer(ChannelHandlerContext context) {
            boolean stays = ++answered < REQUESTS_PER_CONNECTION;
            boolean stream = request.uri().equals(TrainingMessages.STREAM_TARGET);
            context.write(head(stream, stays));
            if (stream) {
                for (int number = 1; number <= EVENTS; number++) {
                    String event = "id: " + number + "\ndata: x\n\n";
                    context.writeAndFlush(
                            new DefaultHttpContent(
                                    Unpooled.copiedBuffer(event, StandardCharsets.US_ASCII)));
                }
            } else {
                context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(BODY)));
            }
            var written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            if (!stays) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        private HttpResponse head(boolean stream, boolean stays) {
            HttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers()
                    .set(Headers.REQUEST_ID, request.headers().get(Headers.REQUEST_ID, ""))
                    .set(Headers.LOAD, LOAD)
                    .set(
                            HttpHeaderNames.CONNECTION,
                            stays ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
            if (stream) {
                head.headers()
                        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_EVENT_STREAM)
                        .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                head.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
            }
            return head;
        }
    }
}
