package io.stackhall.server.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Collects the bodies of calls. A call whose body is too long is handed on as one that cannot be
 * read, so that it is refused in its turn.
 */
final class CallAggregator extends HttpObjectAggregator {

    CallAggregator(int maxBytes) {
        super(maxBytes, true);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        HttpRequest head = (HttpRequest) oversized;
        FullHttpRequest refused =
                new DefaultFullHttpRequest(
                        head.protocolVersion(), head.method(), head.uri(), Unpooled.EMPTY_BUFFER);
        refused.setDecoderResult(
                DecoderResult.failure(
                        new TooLongHttpContentException(
                                "more than " + maxContentLength() + " bytes")));
        context.fireChannelRead(refused);
    }
}
